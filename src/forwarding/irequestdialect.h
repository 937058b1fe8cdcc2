#pragma once

#include "catalog/types/units.h"
#include "forwarding/types/requestfacts.h"
#include "framework/types/error.h"
#include "http/types/message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoon::forwarding {

/// What the router adds to a request on its way to a server.
struct ForwardingOptions {
    framework::Milliseconds timeLeft { 0 };
    /// Another server that has the address by now refuses.
    catalog::InstanceId instance;
    /// 0 is the most urgent, 9 the least. Only for engines.
    std::optional<std::uint32_t> priority;
    /// Go on behind this event.
    std::optional<std::uint64_t> resumeAfter;
};

enum class AnswerClass : std::uint8_t {
    Served, ///< a success of the server for this request
    Failed, ///< the server ran it and says that it failed
    NotRun, ///< the server says that it didn't run it
    NotLoaded, ///< the same, since it lacks the model or adapter
    OtherInstance, ///< the same, since another server has the address by now
    Mismatched, ///< the answer to another request
    Unverified, ///< a success without the server's mark, or without the request's id
};

/// How callers, servers and this system write what concerns a request into HTTP messages.
class IRequestDialect {
public:
    virtual ~IRequestDialect() = default;
    /// `BadRequest` if a field can't be read.
    virtual framework::Result<RequestFacts> read(const http::Request&) const = 0;
    /// The request as the server gets it: without what only this system may state, with the terms.
    virtual http::Request forwarded(const http::Request&, const ForwardingOptions&) const = 0;
    /// `instance` is the server that was meant.
    virtual AnswerClass classify(
        const http::ResponseHead&, const RequestFacts&, const catalog::InstanceId& instance) const = 0;
    /// The head of this system's own final answer.
    virtual http::ResponseHead refusal(unsigned status, std::optional<framework::Milliseconds> retryAfter) const = 0;
};

} // namespace lagoon::forwarding
