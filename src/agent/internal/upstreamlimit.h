#pragma once

#include "agent/iupstream.h"
#include "framework/metrics.h"
#include "framework/types/time.h"
#include "ratelimits/limittable.h"
#include "ratelimits/permitbucket.h"

#include <cstddef>
#include <optional>

namespace lagoon::agent {

/// The limit of requests that the upstream names in its answers. Requests of all routers pass through its agent, which
/// therefore keeps the limit alone. Does no I/O and reads no clock.
class UpstreamLimit {
public:
    explicit UpstreamLimit(framework::Metrics&);

    /// The upstream answered a request that was sent at `sentAt`.
    void didAnswer(const HttpHeaders&, framework::SteadyTime sentAt, framework::SteadyTime now);
    /// Whether a request may be sent now; if so, it counts as sent.
    [[nodiscard]] bool take(framework::SteadyTime now);
    /// When the request behind `ahead` others may be sent; std::nullopt if the upstream names no limit.
    std::optional<framework::SteadyTime> turn(std::size_t ahead, framework::SteadyTime now);

private:
    std::optional<ratelimits::RequestRate> refill(framework::SteadyTime now);

    framework::Metrics& metrics_;
    ratelimits::LimitTable limits_;
    ratelimits::PermitBucket bucket_;
};

} // namespace lagoon::agent
