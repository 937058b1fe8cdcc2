#include "quotas/routeruses.h"

#include "quotas/routerstandings.h"

#include <algorithm>
#include <utility>

namespace lagoon::quotas {

namespace {

using catalog::CustomerName;
using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;
using framework::VmName;

/// By how much the messages of one router may be delayed differently.
constexpr Milliseconds maxDelay { 1000 };
/// A router that restarts within this time of its last message can't have used much that this keeper doesn't know.
constexpr Milliseconds maxRestartTime { 2000 };
/// Much longer than any use is remembered.
constexpr Milliseconds routerRetention { 60000 };

} // namespace

/// A router that remembers less of its uses than this keeper has restarted: what is known of it stays. One that asks
/// other keepers now states its uses to them instead.
std::set<CustomerName> RouterUses::learn(const RouterStanding& standing, SteadyTime now)
{
    const SteadyTime remembersSince = now - standing.remembered;
    self_ = standing.keeper;
    Router& router = routers_.try_emplace(standing.router, Router { remembersSince, now, {} }).first->second;
    router.usable = standing.usable;
    const SteadyTime heardBefore = std::exchange(router.heardAt, now);
    if (remembersSince <= router.knownSince + maxDelay) {
        router.knownSince = std::min(router.knownSince, remembersSince);
        return replace(standing.router, standing.past, now);
    }
    if (remembersSince - heardBefore > maxRestartTime)
        router.knownSince = remembersSince;
    return {};
}

std::set<CustomerName> RouterUses::replace(
    const VmName& router, const std::vector<CustomerPastUse>& stated, SteadyTime now)
{
    std::set<CustomerName> changed;
    for (auto& [customer, uses] : uses_) {
        if (uses.erase(router) > 0)
            changed.insert(customer);
    }
    for (const CustomerPastUse& past : stated) {
        changed.insert(past.customer);
        for (const PastUse& use : past.uses)
            uses_[past.customer][router].add(use.amount, now - use.age);
    }
    return changed;
}

void RouterUses::didHear(const VmName& name, SteadyTime now)
{
    if (const auto router = routers_.find(name); router != routers_.end())
        router->second.heardAt = now;
}

void RouterUses::add(const VmName& router, const CustomerName& customer, double amount, SteadyTime now)
{
    RecentUse& use = uses_[customer][router];
    use.expire(now);
    use.add(amount, now);
}

void RouterUses::takeBack(const VmName& router, const CustomerName& customer, double amount)
{
    const auto uses = uses_.find(customer);
    if (uses == uses_.end())
        return;
    if (const auto use = uses->second.find(router); use != uses->second.end())
        use->second.takeBack(amount);
}

std::vector<RecentUse::Step> RouterUses::known(const CustomerName& customer, SteadyTime now) const
{
    std::vector<RecentUse::Step> steps;
    const auto uses = uses_.find(customer);
    if (uses == uses_.end())
        return steps;
    for (const auto& [router, use] : uses->second) {
        for (const RecentUse::Step& step : use.steps()) {
            if (now - step.at <= RecentUse::retention)
                steps.push_back(step);
        }
    }
    return steps;
}

double RouterUses::sum(const CustomerName& customer, SteadyTime now) const
{
    double sum = 0;
    for (const RecentUse::Step& step : known(customer, now))
        sum += step.amount;
    return sum;
}

std::vector<SteadyTime> RouterUses::knownSince(const CustomerName& customer, SteadyTime now) const
{
    std::vector<SteadyTime> times;
    // Most routers can use the same keepers.
    const std::vector<Endpoint>* lastUsable = nullptr;
    bool asksThis = false;
    for (const auto& [name, router] : routers_) {
        if (now - router.knownSince >= RecentUse::retention)
            continue;
        if (!lastUsable || *lastUsable != router.usable) {
            lastUsable = &router.usable;
            asksThis = keeperOf(customer, router.usable) == self_;
        }
        if (asksThis)
            times.push_back(router.knownSince);
    }
    return times;
}

void RouterUses::forgetOld(SteadyTime now)
{
    std::erase_if(routers_, [&](const auto& entry) { return now - entry.second.heardAt > routerRetention; });
    for (auto& [customer, uses] : uses_) {
        for (auto& [router, use] : uses)
            use.expire(now);
        std::erase_if(uses, [](const auto& entry) { return entry.second.isEmpty(); });
    }
    std::erase_if(uses_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace lagoon::quotas
