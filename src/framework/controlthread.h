#pragma once

#include "framework/types/time.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>

namespace lagoon::framework {

/// A timer that ends with its handle: destroying or `cancel`ling it from the control thread means the action never
/// runs afterwards.
class Timer {
public:
    virtual ~Timer() = default;
    virtual void cancel() = 0;
};

/// Where control state lives: actions run one at a time, in order.
class IControlExecutor {
public:
    virtual ~IControlExecutor() = default;
    /// From any thread.
    virtual void post(std::function<void()>) = 0;
    /// Runs the action once `at` has passed, unless the returned timer is gone by then. Control thread only.
    [[nodiscard]] virtual std::unique_ptr<Timer> runAt(Deadline at, std::function<void()>) = 0;
};

/// The process's one thread for control state.
class ControlThread final : public IControlExecutor {
public:
    ControlThread();
    ~ControlThread() override;
    ControlThread(const ControlThread&) = delete;
    ControlThread& operator=(const ControlThread&) = delete;

    void post(std::function<void()>) override;
    std::unique_ptr<Timer> runAt(Deadline, std::function<void()>) override;
    /// Lets the running action end, drops the others and joins. From any other thread; idempotent.
    void stop();

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace lagoon::framework
