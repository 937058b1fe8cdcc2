#pragma once

#include "framework/boundedlabels.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/periodictask.h"
#include "quotas/allowance.h"
#include "quotas/quotawire.h"
#include "quotas/recentmaximum.h"
#include "quotas/recentuse.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lagoon::quotas {

/// A router's part: asks the keeper of each customer's quota. A keeper is the agent of an engine; all routers choose
/// equally among those that they can use. A router that can't use any grants its own requests one router's share for a
/// while. Runs on the control thread.
class QuotaExchange {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::Metrics& metrics;
        framework::VmName router;
        /// Sends to the agent of an engine. Called only between `didOpen` and `didClose` of the engine.
        std::function<void(const framework::Endpoint&, const wire::Message&)> send;
    };

    explicit QuotaExchange(Context);

    /// Sets by how much the operators tolerate that all routers together exceed a quota, in its unit.
    void setTolerance(double);
    /// Sets the engines whose agents keep quotas, equally at all routers; empty if there are no quotas to keep.
    void setKeepers(std::set<framework::Endpoint>);
    /// Sets the number of routers that agents report at present.
    void setRouters(std::uint32_t);
    /// The link to the agent of an engine is open, and the agent keeps quotas.
    void didOpen(const framework::Endpoint&);
    void didClose(const framework::Endpoint&);
    void receive(const framework::Endpoint& from, const wire::fb::CustomerQuotasT&);

    /// The number is chosen by the caller and never used twice. For the rest see `ICustomerQuotas`.
    void draw(const DrawNumber&, const QuotaDraw&, std::function<void(const DrawReply&)>);
    void withdraw(const DrawNumber&);
    void giveBack(const QuotaDraw&);
    void charge(const QuotaDraw&);

private:
    /// A draw without a reply.
    struct Order {
        QuotaDraw draw;
        /// Empty if the draw was withdrawn.
        std::function<void(const DrawReply&)> handler;
        /// Empty while the draw waits for a keeper.
        framework::Endpoint keeper;
        std::unique_ptr<framework::Timer> timeout;
    };
    std::vector<framework::Endpoint> usable() const;
    void decide(const DrawNumber&);
    void ask(const DrawNumber&, Order&, const framework::Endpoint& keeper);
    void awaitKeeper(const DrawNumber&, Order&);
    void didTimeOut(const DrawNumber&);
    void decideAlone(const DrawNumber&, Order&);
    Allowance& ownShare(const QuotaDraw&);
    bool hasOpenKeeper() const;
    bool mayDecideAlone() const;
    void reply(const DrawNumber&, const DrawReply&);
    void setUnanswering(const framework::Endpoint&);
    void decideAgain(const std::vector<DrawNumber>&);
    /// The router has not this keeper in its list any more.
    void leave(const framework::Endpoint& keeper);
    /// The keepers that this router can use have changed.
    void restate();
    /// Returns the draws that haven't been sent to their keepers yet.
    std::vector<DrawNumber> takeUnsent();
    void state(
        const framework::Endpoint& keeper, const std::vector<framework::Endpoint>& usable, std::uint32_t routers);
    std::vector<CustomerPastUse> pastUses(
        const framework::Endpoint& keeper, const std::vector<framework::Endpoint>& usable);
    void noteUse(const QuotaDraw&);
    void forgetOldUses();
    void tick();
    QuotaUpdate& pendingFor(const framework::Endpoint& keeper);
    void flush();

    Context context_;
    /// What all routers together may use in advance.
    double tolerance_ = 0;
    RecentMaximum linkedRouters_;
    /// The number of all routers as keepers counted them, with those that are cut off. Not stated to keepers, or it
    /// would never fall.
    RecentMaximum countedRouters_;
    std::uint32_t allRouters_ = 0;
    std::set<framework::Endpoint> keepers_;
    std::set<framework::Endpoint> open_;
    /// What each keeper was last told of those that this router can use.
    std::map<framework::Endpoint, std::vector<framework::Endpoint>> stated_;
    /// Keepers that didn't answer in time and haven't been heard since.
    std::set<framework::Endpoint> unanswering_;
    std::map<DrawNumber, Order> orders_;
    /// What this router has used since it started, for keepers that don't know it.
    std::map<catalog::CustomerName, RecentUse> used_;
    framework::SteadyTime startedAt_;
    /// While this router has no keeper.
    std::map<catalog::CustomerName, Allowance> ownShares_;
    /// When this router last had a keeper that it could use; std::nullopt if it never had one.
    std::optional<framework::SteadyTime> lastUsableAt_;
    framework::BoundedLabels labels_;
    /// Collected until the control thread has run what is posted.
    std::map<framework::Endpoint, QuotaUpdate> pending_;
    bool isFlushPosted_ = false;
    framework::PeriodicTask ticks_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace lagoon::quotas
