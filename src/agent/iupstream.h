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

/// A request as the upstream gets it.
struct UpstreamRequest {
    framework::RequestName name;
    std::string method;
    /// Path and query.
    std::string path;
    HttpHeaders headers;
    std::string body;
    std::uint8_t priority = 0;
    bool isRepeatable = false;
    framework::Deadline deadline;
};

/// What becomes of a call. From any thread, one at a time and in order; `onEnd` or `onFailed` comes last, once.
struct UpstreamEvents {
    std::function<void(unsigned short status, HttpHeaders)> onHead;
    std::function<void(std::string bytes)> onBytes;
    /// The answer is whole.
    std::function<void()> onEnd;
    /// It isn't. `Execution::NotRun` only if the upstream can't have got the request.
    std::function<void(const framework::Error&)> onFailed;
};

/// A call under way.
class IUpstreamCall {
public:
    virtual ~IUpstreamCall() = default;
    /// Closes the connection, which frees the upstream's work; `onFailed` follows. From any thread; idempotent.
    virtual void cancel() = 0;
};

/// What an agent is the gate to. Thread-safe.
class IUpstream {
public:
    virtual ~IUpstream() = default;
    /// Returns at once.
    virtual std::shared_ptr<IUpstreamCall> run(UpstreamRequest, UpstreamEvents) = 0;
};

} // namespace lagoon::agent
