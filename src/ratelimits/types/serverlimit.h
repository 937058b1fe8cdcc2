#pragma once

#include "catalog/types/upstream.h"
#include "framework/types/strongtype.h"
#include "framework/types/time.h"

#include <optional>
#include <string>
#include <string_view>

/// The rates of requests that servers in need take from all routers together: see docs/DESIGN.md.
namespace lagoon::ratelimits {

/// Requests per second.
using RequestRate = framework::StrongType<struct RequestRateTag, double>;
/// Names one run of a server's process, equally on all routers and agents.
using ServerRunKey = framework::StrongType<struct ServerRunKeyTag, std::string>;

ServerRunKey serverRunKey(const catalog::UpstreamRun&);

/// What the head of an answer says about the server's limit.
struct LimitHeader {
    bool isPresent = false;
    /// std::nullopt if the header is absent or can't be read.
    std::optional<RequestRate> rate;
};

/// Parses a decimal number that isn't negative.
std::optional<RequestRate> parseRate(std::string_view);

/// Adds one field of the header to what the others say. Of several rates the lowest counts.
void addField(LimitHeader&, std::string_view value);

/// What a server has said about its limit.
struct LimitStatement {
    ServerRunKey server;
    /// std::nullopt if the server has no limit.
    std::optional<RequestRate> limit;
    /// Orders the statements about a server. For a limit it is when the answer came; for none it is when the answered
    /// request was sent, so that an answer that was late on its way doesn't end a limit that the server named later.
    framework::SteadyTime at {};
    /// When the answer came.
    framework::SteadyTime heardAt {};
};

} // namespace lagoon::ratelimits
