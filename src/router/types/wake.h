#pragma once

#include "callers/icaller.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace lagoon::router {

/// A target at one site: the unit that a home is responsible for.
struct SiteTarget {
    callers::RequestTarget target;
    framework::SiteName site;

    friend auto operator<=>(const SiteTarget&, const SiteTarget&) = default;
};

/// A router's request to a home to find or load replicas of a target, since callers' requests wait for it.
struct WakeOrder {
    SiteTarget where;
    /// Number of waiting requests.
    std::uint32_t waiters = 0;
    /// Earliest deadline of the waiting requests; if none waits, the same as `latest`.
    framework::Deadline earliest;
    /// Time after which a new replica is of no use to any of the requests.
    framework::Deadline latest;
    std::uint32_t desiredReplicas = 1;
    /// Highest priority among the waiting requests.
    std::uint8_t priority = 0;
    /// Bundle version in force at the requesting router. A home with an older bundle waits until it has this one.
    framework::BundleVersion bundleVersion = {};
};

/// A home's reply to a wake: any number of progress reports, then one final reply.
struct WakeReply {
    bool isFinal = false;
    /// VMs of the agents that serve the target now.
    std::vector<framework::VmName> placements = {};
    /// Set in a final reply without placements.
    std::optional<framework::Error> error = std::nullopt;
    /// Set in a progress report about a load: the earliest time at which the load is expected to end. Requests with an
    /// earlier deadline are refused.
    std::optional<framework::Deadline> soonestAt = std::nullopt;
    /// Set in a progress report about a load: `Retry-After` for the requests that are refused until the load ends.
    std::optional<framework::Milliseconds> retryAfter = std::nullopt;
    /// Bundle version by which the home decided.
    framework::BundleVersion bundleVersion = {};
};

using WakeReplyHandler = std::function<void(const WakeReply&)>;

} // namespace lagoon::router
