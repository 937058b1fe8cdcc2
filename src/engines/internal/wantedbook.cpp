#include "engines/wantedbook.h"

#include <algorithm>
#include <utility>

namespace lagoon::engines {

namespace {

using catalog::Wanted;

/// A router speaks each second; one that has missed three has ended, or can't be reached.
constexpr framework::Milliseconds routerSilence { 3500 };

void merge(Wanted& into, const Wanted& from)
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

void WantedBook::set(const framework::VmName& router, catalog::WantedList wanted, framework::SteadyTime now)
{
    routers_[router] = { std::move(wanted), now };
}

void WantedBook::forgetSilent(framework::SteadyTime now)
{
    std::erase_if(routers_, [now](const auto& entry) { return now - entry.second.at > routerSilence; });
}

std::map<catalog::ModelTarget, Wanted> WantedBook::merged() const
{
    std::map<catalog::ModelTarget, Wanted> all;
    for (const auto& [router, entry] : routers_) {
        for (const Wanted& wanted : entry.wanted) {
            const auto [place, isNew] = all.try_emplace(wanted.target, wanted);
            if (!isNew)
                merge(place->second, wanted);
        }
    }
    return all;
}

} // namespace lagoon::engines
