#pragma once

#include "framework/icontrolexecutor.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>

namespace lagoon::framework {

/// A thread with an event loop: actions, timers and sockets run on it one at a time.
class EventThread : public IControlExecutor {
public:
    EventThread();
    ~EventThread() override;
    EventThread(const EventThread&) = delete;
    EventThread& operator=(const EventThread&) = delete;

    void post(std::function<void()>) override;
    std::unique_ptr<Timer> runAt(Deadline, std::function<void()>) override;
    /// Lets the running action end, drops the others and joins. From any other thread; idempotent.
    void stop();
    /// For the sockets that belong to this thread.
    boost::asio::io_context& context() { return context_; }

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace lagoon::framework
