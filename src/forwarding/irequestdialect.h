#pragma once

#include "catalog/types/customer.h"
#include "catalog/types/units.h"
#include "forwarding/types/requestfacts.h"
#include "framework/types/error.h"
#include "http/types/message.h"
#include "notices/types/servernotice.h"
#include "ratelimits/types/serverlimit.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoon::forwarding {

/// What the router adds to a request that it forwards to a server.
struct ForwardingOptions {
    framework::Milliseconds timeLeft { 0 };
    /// The server that is meant; another server that now has the address refuses the request.
    catalog::InstanceId instance;
    /// 0 is the most urgent, 9 the least urgent. Only sent to engines.
    std::optional<std::uint32_t> priority;
    /// Who the caller is. std::nullopt if callers aren't told apart, and the headers pass unchanged; otherwise the
    /// caller's key is removed, and the server is told this name alone, or none if it is empty.
    std::optional<catalog::CustomerName> customer;
    /// The stream is to resume after the event with this id.
    std::optional<std::uint64_t> resumeAfter;
};

enum class AnswerClass : std::uint8_t {
    Served, ///< the server answered this request successfully
    Failed, ///< the server ran the request and reports that it failed
    NotRun, ///< the server reports that it did not run the request
    NotLoaded, ///< the server did not run the request because it lacks the model or adapter
    OtherInstance, ///< the request was not run because another server has the address now
    Mismatched, ///< the answer belongs to another request
    Unverified, ///< without the request's id, or a success without the header that servers add to successes
};

/// Whether the answer came from the server that was meant and answers the request that was sent.
inline bool isOwnAnswer(AnswerClass answerClass)
{
    return answerClass == AnswerClass::Served || answerClass == AnswerClass::Failed
        || answerClass == AnswerClass::NotRun || answerClass == AnswerClass::NotLoaded;
}

/// How callers, servers and this system encode requests and answers in HTTP messages.
class IRequestDialect {
public:
    virtual ~IRequestDialect() = default;
    /// Returns `BadRequest` if a field can't be parsed.
    virtual framework::Result<RequestFacts> read(const http::Request&) const = 0;
    /// Returns the digest of the caller's API key; std::nullopt if the request has none, or one that can't be read.
    virtual std::optional<catalog::KeyDigest> key(const http::Request&) const = 0;
    /// Returns the request as it is sent to the server: without the headers that only this system may set, and with the
    /// options added.
    virtual http::Request forwarded(const http::Request&, const ForwardingOptions&) const = 0;
    /// `instance` is the server to which the request was addressed.
    virtual AnswerClass classify(
        const http::ResponseHead&, const RequestFacts&, const catalog::InstanceId& instance) const = 0;
    /// Whether the answer says to which request it belongs.
    virtual bool namesRequest(const http::ResponseHead&) const = 0;
    /// Returns what the answer says about the rate of requests that its server takes.
    virtual ratelimits::LimitHeader limit(const http::ResponseHead&) const = 0;
    /// Returns what the answer says about whether its server takes further requests.
    virtual notices::ServerNotice notice(const http::ResponseHead&) const = 0;
    /// Returns the head of this system's own final answer.
    virtual http::ResponseHead refusal(unsigned status, std::optional<framework::Milliseconds> retryAfter) const = 0;
};

} // namespace lagoon::forwarding
