#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lagoon::agent {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request as it is sent to the upstream.
struct UpstreamRequest {
    framework::RequestName name;
    std::string method;
    /// Path and query.
    std::string path;
    HttpHeaders headers;
    std::string body;
    std::uint8_t priority = 0;
    framework::Deadline deadline;
};

/// Callbacks of a call. They run on any thread, one at a time and in order. The last one is either `onEnd` or
/// `onFailed`, which is called once.
struct UpstreamEvents {
    std::function<void(unsigned short status, HttpHeaders)> onHead;
    std::function<void(std::string bytes)> onBytes;
    /// The answer is complete.
    std::function<void()> onEnd;
    /// The call failed before the answer was complete. The error has `Execution::NotRun` only if the upstream can't
    /// have received the request.
    std::function<void(const framework::Error&)> onFailed;
};

/// A call in progress.
class IUpstreamCall {
public:
    virtual ~IUpstreamCall() = default;
    /// Closes the connection, which makes the upstream stop the work; `onFailed` follows. Callable from any thread;
    /// idempotent.
    virtual void cancel() = 0;
};

/// The server behind an agent: a model engine or a plain service. Thread-safe.
class IUpstream {
public:
    virtual ~IUpstream() = default;
    /// Starts a call and returns immediately. The upstream has to outlive the call.
    virtual std::shared_ptr<IUpstreamCall> run(UpstreamRequest, UpstreamEvents) = 0;
};

} // namespace lagoon::agent
