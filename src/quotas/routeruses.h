#pragma once

#include "catalog/types/customer.h"
#include "framework/types/ids.h"
#include "quotas/quotawire.h"
#include "quotas/recentuse.h"

#include <map>
#include <set>
#include <vector>

namespace lagoon::quotas {

/// What routers have used of customers' quotas of late: as a keeper granted it, and as routers that begin to ask it
/// state it. Does no I/O and reads no clock.
class RouterUses {
public:
    /// Takes over what a router states. Returns the customers whose known uses have changed.
    std::set<catalog::CustomerName> learn(const RouterStanding&, framework::SteadyTime now);
    void didHear(const framework::VmName& router, framework::SteadyTime now);

    void add(const framework::VmName& router, const catalog::CustomerName&, double amount, framework::SteadyTime now);
    /// Takes back what the router used last.
    void takeBack(const framework::VmName& router, const catalog::CustomerName&, double amount);

    /// Returns the known uses, in any order.
    std::vector<RecentUse::Step> known(const catalog::CustomerName&, framework::SteadyTime now) const;
    double sum(const catalog::CustomerName&, framework::SteadyTime now) const;
    /// Returns since when the uses are known of each router that asks for this customer, if that isn't long enough to
    /// know all that still counts.
    std::vector<framework::SteadyTime> knownSince(const catalog::CustomerName&, framework::SteadyTime now) const;
    void forgetOld(framework::SteadyTime now);

private:
    struct Router {
        framework::SteadyTime knownSince {};
        framework::SteadyTime heardAt {};
        /// The keepers that it can use.
        std::vector<framework::Endpoint> usable;
    };

    std::set<catalog::CustomerName> replace(
        const framework::VmName& router, const std::vector<CustomerPastUse>& stated, framework::SteadyTime now);

    std::map<framework::VmName, Router> routers_;
    /// Also of routers that have ended, for as long as it counts.
    std::map<catalog::CustomerName, std::map<framework::VmName, RecentUse>> uses_;
    /// The name by which routers know this keeper.
    framework::Endpoint self_;
};

} // namespace lagoon::quotas
