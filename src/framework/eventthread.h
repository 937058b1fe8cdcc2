#pragma once

#include "framework/icontrolexecutor.h"

#include <functional>
#include <memory>

// Most users only post actions and set timers. Asio's headers would add a second to the compilation of each of them.
namespace boost::asio {
class io_context;
}

namespace lagoon::framework {

/// A thread with an event loop, which runs actions and the handlers of timers and sockets one at a time.
class EventThread : public IControlExecutor {
public:
    EventThread();
    ~EventThread() override;
    EventThread(const EventThread&) = delete;
    EventThread& operator=(const EventThread&) = delete;

    void post(std::function<void()>) override;
    std::unique_ptr<Timer> runAt(Deadline, std::function<void()>) override;
    /// Waits for the running action to return, drops the queued ones and joins the thread. Idempotent. Must not be
    /// called from this thread.
    void stop();
    /// The context for sockets whose handlers run on this thread.
    boost::asio::io_context& context();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::framework
