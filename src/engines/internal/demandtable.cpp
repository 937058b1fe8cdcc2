#include "engines/demandtable.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace lagoon::engines {

namespace {

using catalog::TargetDemand;

/// A router sends its demand each second. One that has missed three updates has ended or can't be reached.
constexpr framework::Milliseconds routerTimeout { 3500 };

void accumulate(TargetDemand& into, const TargetDemand& from)
{
    if (from.waiting > 0)
        into.earliest = into.waiting > 0 ? std::min(into.earliest, from.earliest) : from.earliest;
    into.waiting += from.waiting;
    into.inFlight += from.inFlight;
    into.work += from.work;
    into.rank = std::min(into.rank, from.rank);
    into.holders = std::max(into.holders, from.holders);
    into.isPrefetch = into.isPrefetch || from.isPrefetch;
    into.isCopy = into.isCopy || from.isCopy;
    into.priority = std::max(into.priority, from.priority);
}

} // namespace

void DemandTable::set(const framework::VmName& router, catalog::DemandList demand, framework::SteadyTime now)
{
    Entry& entry = routers_[router];
    entry.receivedAt = now;
    std::set<catalog::ModelTarget> touched;
    for (const TargetDemand& before : std::exchange(entry.demand, std::move(demand))) {
        erase(before.target, router);
        touched.insert(before.target);
    }
    for (const TargetDemand& one : entry.demand) {
        byTarget_[one.target].emplace_back(router, one);
        touched.insert(one.target);
    }
    for (const catalog::ModelTarget& target : touched)
        merge(target);
}

void DemandTable::forget(const framework::VmName& router)
{
    set(router, {}, {});
    routers_.erase(router);
}

void DemandTable::forgetSilentRouters(framework::SteadyTime now)
{
    std::vector<framework::VmName> silent;
    for (const auto& [router, entry] : routers_) {
        if (now - entry.receivedAt > routerTimeout)
            silent.push_back(router);
    }
    for (const framework::VmName& router : silent)
        forget(router);
}

void DemandTable::erase(const catalog::ModelTarget& target, const framework::VmName& router)
{
    std::erase_if(byTarget_[target], [&](const auto& entry) { return entry.first == router; });
}

void DemandTable::merge(const catalog::ModelTarget& target)
{
    const auto entries = byTarget_.find(target);
    if (entries->second.empty()) {
        byTarget_.erase(entries);
        merged_.erase(target);
        return;
    }
    TargetDemand all;
    all.target = target;
    all.rank = std::numeric_limits<std::uint32_t>::max();
    for (const auto& [router, demand] : entries->second)
        accumulate(all, demand);
    merged_.insert_or_assign(target, std::move(all));
}

} // namespace lagoon::engines
