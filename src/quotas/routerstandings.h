#pragma once

#include "catalog/types/customer.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "quotas/quotawire.h"
#include "quotas/recentmaximum.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoon::quotas {

/// Returns the keeper that a router asks for a customer's quota: of those that it can use, the first in the customer's
/// rendezvous order; std::nullopt if there is none.
std::optional<framework::Endpoint> keeperOf(
    const catalog::CustomerName&, const std::vector<framework::Endpoint>& usable);

/// Which routers ask this keeper for which customers' quotas, as the routers state it. The shares of all keepers, and
/// of the routers that reach none, add up to one. Does no I/O and reads no clock.
class RouterStandings {
public:
    RouterStandings();

    void note(const RouterStanding&, framework::SteadyTime now);
    /// The router has closed its link.
    void didClose(const framework::VmName&);
    /// Takes into account what was noted, and which routers have fallen silent. Returns whether shares may have
    /// changed.
    [[nodiscard]] bool update(framework::SteadyTime now);
    /// Returns the part of all routers that have this keeper for the customer, as of the last update.
    double share(const catalog::CustomerName&) const;
    /// Returns the number of routers that are in touch, as of the last update.
    std::size_t linkedRouters() const;
    /// Returns the number of all routers, including those that may decide on their own while they are cut off, as of
    /// the last update.
    std::uint32_t routers() const;

private:
    struct Router {
        RouterStanding standing;
        framework::SteadyTime heardAt {};
        /// Whether the link that brought the standing is open.
        bool isLinked = true;
    };
    /// How many routers can use the same keepers.
    using RoutersBySet = std::map<std::vector<framework::Endpoint>, std::size_t>;

    void noteUnchanged(const RouterStanding&, framework::SteadyTime now);
    RoutersBySet routersBySet(framework::SteadyTime now) const;

    std::map<framework::VmName, Router> routers_;
    RecentMaximum stated_;
    framework::Endpoint self_;
    /// Of the routers that are in touch.
    RoutersBySet bySet_;
    /// All keepers that any of them can use.
    std::vector<framework::Endpoint> keepers_;
    std::uint32_t all_ = 1;
    framework::Deadline refreshAt_;
};

} // namespace lagoon::quotas
