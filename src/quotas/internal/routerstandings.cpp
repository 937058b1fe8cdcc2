#include "quotas/routerstandings.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lagoon::quotas {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;

/// Routers send at least once a second. One that is silent for longer isn't counted, before it gives this keeper up.
constexpr Milliseconds standingValidity { 2000 };
/// Longer than a router that has lost all keepers decides on its own.
constexpr Milliseconds routerRetention { 60000 };
constexpr Milliseconds refreshInterval { 250 };

std::vector<Endpoint> inOrderOf(const catalog::CustomerName& customer, const std::vector<Endpoint>& keepers)
{
    std::vector<framework::VmName> names;
    names.reserve(keepers.size());
    for (const Endpoint& keeper : keepers)
        names.emplace_back(keeper.value());
    std::vector<Endpoint> ordered;
    ordered.reserve(keepers.size());
    for (const framework::VmName& name : policy::rendezvousOrder(customer.value(), std::move(names)))
        ordered.emplace_back(name.value());
    return ordered;
}

/// Returns the keepers that routers ask for the customer rather than this one.
std::vector<Endpoint> preferredTo(
    const Endpoint& keeper, const catalog::CustomerName& customer, const std::vector<Endpoint>& keepers)
{
    std::vector<Endpoint> preferred = inOrderOf(customer, keepers);
    preferred.erase(std::find(preferred.begin(), preferred.end(), keeper), preferred.end());
    return preferred;
}

} // namespace

RouterStandings::RouterStandings()
    : stated_(routerRetention)
{
}

std::optional<Endpoint> keeperOf(const catalog::CustomerName& customer, const std::vector<Endpoint>& usable)
{
    if (usable.empty())
        return std::nullopt;
    return inOrderOf(customer, usable).front();
}

/// A router that uses more keepers than before only takes from what this one grants, so that this may wait. All routers
/// that start together do so for each keeper.
void RouterStandings::note(const RouterStanding& standing, SteadyTime now)
{
    if (standing.isUnchanged)
        return noteUnchanged(standing, now);
    Router& router = routers_[standing.router];
    const std::vector<Endpoint> before = router.isLinked ? std::move(router.standing.usable) : std::vector<Endpoint>();
    router = { standing, now, true };
    std::vector<Endpoint>& usable = router.standing.usable;
    std::sort(usable.begin(), usable.end());
    const bool hasOnlyMore = std::includes(usable.begin(), usable.end(), before.begin(), before.end());
    const bool wasUsed = std::binary_search(before.begin(), before.end(), standing.keeper);
    if (!hasOnlyMore || !wasUsed)
        refreshAt_ = Deadline();
    if (std::exchange(self_, standing.keeper) != standing.keeper) {
        refreshAt_ = Deadline();
        bySet_.clear();
    }
    stated_.note(standing.routers, now);
}

void RouterStandings::noteUnchanged(const RouterStanding& standing, SteadyTime now)
{
    const auto router = routers_.find(standing.router);
    if (router == routers_.end() || !router->second.isLinked)
        return;
    if (now - router->second.heardAt > standingValidity)
        refreshAt_ = Deadline();
    router->second.heardAt = now;
    stated_.note(standing.routers, now);
}

void RouterStandings::didClose(const framework::VmName& name)
{
    const auto router = routers_.find(name);
    if (router == routers_.end())
        return;
    router->second.isLinked = false;
    refreshAt_ = Deadline();
}

RouterStandings::RoutersBySet RouterStandings::routersBySet(SteadyTime now) const
{
    RoutersBySet bySet;
    for (const auto& [name, router] : routers_) {
        if (router.isLinked && now - router.heardAt <= standingValidity)
            ++bySet[router.standing.usable];
    }
    return bySet;
}

bool RouterStandings::update(SteadyTime now)
{
    if (!refreshAt_.hasPassed(now))
        return false;
    refreshAt_ = Deadline::after(now, refreshInterval);
    std::erase_if(routers_, [&](const auto& entry) { return now - entry.second.heardAt > routerRetention; });
    const std::uint32_t all = std::max({ 1U, static_cast<std::uint32_t>(routers_.size()), stated_.value(now) });
    RoutersBySet bySet = routersBySet(now);
    if (all == all_ && bySet == bySet_)
        return false;
    all_ = all;
    bySet_ = std::move(bySet);
    std::set<Endpoint> keepers;
    for (const auto& [usable, routers] : bySet_)
        keepers.insert(usable.begin(), usable.end());
    keepers_.assign(keepers.begin(), keepers.end());
    return true;
}

std::size_t RouterStandings::linkedRouters() const
{
    std::size_t linked = 0;
    for (const auto& [usable, routers] : bySet_)
        linked += routers;
    return linked;
}

std::uint32_t RouterStandings::routers() const { return all_; }

double RouterStandings::share(const catalog::CustomerName& customer) const
{
    const std::vector<Endpoint> preferred = preferredTo(self_, customer, keepers_);
    std::size_t asking = 0;
    for (const auto& [usable, routers] : bySet_) {
        const bool canUse = std::binary_search(usable.begin(), usable.end(), self_);
        const bool usesOther = std::any_of(preferred.begin(), preferred.end(),
            [&usable = usable](const Endpoint& one) { return std::binary_search(usable.begin(), usable.end(), one); });
        if (canUse && !usesOther)
            asking += routers;
    }
    return static_cast<double>(asking) / all_;
}

} // namespace lagoon::quotas
