#pragma once

#include "framework/iclock.h"
#include "framework/metrics.h"
#include "quotas/allowance.h"
#include "quotas/quotawire.h"
#include "quotas/routerstandings.h"
#include "quotas/routeruses.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lagoon::quotas {

/// An agent's part: grants the routers' requests their part of their customers' quotas. Runs on the control thread.
///
/// Routers that begin to ask this keeper state what they have used of late, so that a keeper that takes over goes on as
/// if it had granted that itself. What a router that has just started may have used before is assumed.
class QuotaKeeper {
public:
    struct Context {
        const framework::IClock& clock;
        framework::Metrics& metrics;
    };

    explicit QuotaKeeper(Context);

    /// Returns the answer for the router that sent this.
    std::optional<wire::Message> receive(const framework::VmName& router, const wire::fb::CustomerQuotasT&);
    /// The router has no link any more.
    void didClose(const framework::VmName& router);

private:
    struct CustomerAllowance {
        catalog::Quota quota;
        catalog::ConfigurationVersion version;
        Allowance allowance;
        /// The part of all routers that ask this keeper.
        double share = 0;
        framework::SteadyTime usedAt {};
        /// While the customer counts as denied: when this ends without another denial.
        std::optional<framework::Deadline> deniedUntil;
    };

    using Customers = std::map<catalog::CustomerName, CustomerAllowance>;

    /// Applies changed shares to all allowances at the time of the change: what came in before belongs to the old
    /// share.
    void applyShares();
    void setShare(Customers::value_type&, double share);
    AllowanceTerms terms(const CustomerAllowance&) const;
    void refill(CustomerAllowance&);
    /// Returns the customer's allowance as of now.
    CustomerAllowance& customerOf(const QuotaDraw&);
    void recalculate(const std::set<catalog::CustomerName>&);
    void recalculate(Customers::value_type&);
    double leastLevel(const catalog::Quota&) const;
    DrawDecision decide(const framework::VmName& router, const DrawQuery&);
    void noteDenial(const catalog::CustomerName&, CustomerAllowance&);
    void logEndsOfDenial();
    void logRouters();
    void forgetIdle();

    Context context_;
    RouterStandings standings_;
    /// What all routers together may use in advance, as they state it.
    double tolerance_ = 0;
    Customers customers_;
    RouterUses uses_;
    framework::Deadline forgetAt_;
    /// What the last line about this keeper's routers said.
    std::pair<std::size_t, std::uint32_t> loggedRouters_;
    framework::Deadline logRoutersAt_;
};

} // namespace lagoon::quotas
