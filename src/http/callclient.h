#pragma once

#include "framework/eventthread.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "http/clientconnection.h"
#include "http/types/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <stop_token>

namespace lagoon::http {

/// Limits the memory that the answers of one server take.
struct AnswerLimits {
    /// Of the body of one answer.
    std::size_t bytes = 0;
    /// Of the bodies of all answers that are being received at the same time.
    std::size_t heldBytes = 0;
};

/// Makes short calls with small answers to one server, such as the platform's store. Each call is sent once and never
/// retried. Thread-safe; handlers run on the event thread.
class CallClient {
public:
    /// The error is `PlatformUnavailable` if the answer has not started by the deadline, or stalls after it, and
    /// `TooLarge` if the answer exceeds a limit. Its execution is `Execution::Unknown` unless it is certain that no
    /// byte of the request was sent.
    using Handler = std::function<void(framework::Result<Response>)>;

    enum class Connections : std::uint8_t {
        Pooled,
        /// For servers that may send an answer twice, if nothing in an answer names its call.
        OnePerCall,
    };

    CallClient(framework::EventThread&, const framework::Endpoint&, const AnswerLimits&,
        Connections = Connections::Pooled, const ClientOptions& = {});
    ~CallClient();
    CallClient(const CallClient&) = delete;
    CallClient& operator=(const CallClient&) = delete;

    /// A stop request closes the call's connection, and the call fails.
    void call(Request, framework::Deadline, Handler, std::stop_token = {});

private:
    class Implementation;
    framework::EventThread& thread_;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::http
