#pragma once

#include "framework/eventthread.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "http/clientconnection.h"
#include "http/types/message.h"

#include <functional>
#include <memory>

namespace lagoon::http {

/// Short calls with small answers to one server, such as the platform's store. Each call is sent once. From any thread;
/// the handler runs on the event thread.
class CallClient {
public:
    /// Errors: `PlatformUnavailable` if by the deadline no answer has begun, or one that has begun stops coming, with
    /// `Execution::Unknown` unless it is sure that no byte left.
    using Handler = std::function<void(framework::Result<Response>)>;

    CallClient(framework::EventThread&, const framework::Endpoint&, const ClientOptions& = {});
    ~CallClient();
    CallClient(const CallClient&) = delete;
    CallClient& operator=(const CallClient&) = delete;

    void call(Request, framework::Deadline, Handler);

private:
    class Implementation;
    framework::EventThread& thread_;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::http
