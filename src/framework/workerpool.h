#pragma once

#include <boost/asio/thread_pool.hpp>
#include <cstddef>
#include <functional>

namespace lagoon::framework {

/// Threads for blocking calls, such as those to the platform. Callers pass results to the control thread by its `post`.
class WorkerPool {
public:
    explicit WorkerPool(std::size_t threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    void run(std::function<void()>);
    /// Drops calls that haven't started and waits for those that have.
    void stop();

private:
    boost::asio::thread_pool pool_;
};

} // namespace lagoon::framework
