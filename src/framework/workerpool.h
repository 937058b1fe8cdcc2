#pragma once

#include <boost/asio/thread_pool.hpp>
#include <cstddef>
#include <functional>

namespace lagoon::framework {

/// A few threads for calls that block, such as the platform's. Results go back to the control thread by its `post`.
class WorkerPool {
public:
    explicit WorkerPool(std::size_t threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    void run(std::function<void()>);
    /// Drops what hasn't started, waits for what has.
    void stop();

private:
    boost::asio::thread_pool pool_;
};

} // namespace lagoon::framework
