#pragma once

#include "framework/icontrolexecutor.h"

#include <functional>
#include <memory>

// Most users post actions and set timers only; Asio's own headers would cost each of them a second of compiling.
namespace boost::asio {
class io_context;
}

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
    boost::asio::io_context& context();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::framework
