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

/// A target at one of the sites: what a home is responsible for.
struct SiteTarget {
    callers::RequestTarget target;
    framework::SiteName site;

    friend auto operator<=>(const SiteTarget&, const SiteTarget&) = default;
};

/// Someone waits for a target.
struct WakeOrder {
    SiteTarget where;
    std::uint32_t waiters = 0;
    framework::Deadline earliest;
    framework::Deadline latest;
    std::uint32_t desiredReplicas = 1;
    /// Highest among those waiting.
    std::uint8_t priority = 0;
    /// That the asking router has in force; a home with an older one waits for it.
    framework::BundleVersion bundleVersion = {};
};

/// What a home says to a wake: perhaps several times "not yet", then once something final.
struct WakeReply {
    bool isFinal = false;
    /// Agents that serve the target now.
    std::vector<framework::VmName> placements = {};
    /// Set in a final reply without placements.
    std::optional<framework::Error> error = std::nullopt;
    /// Not final: the soonest that the load may end; who can't wait as long is refused.
    std::optional<framework::Deadline> soonestAt = std::nullopt;
    /// Not final: when to come back for who is refused.
    std::optional<framework::Milliseconds> retryAfter = std::nullopt;
    /// That the home decided by.
    framework::BundleVersion bundleVersion = {};
};

using WakeReplyHandler = std::function<void(const WakeReply&)>;

} // namespace lagoon::router
