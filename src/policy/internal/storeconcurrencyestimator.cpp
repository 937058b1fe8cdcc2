#include "policy/storeconcurrencyestimator.h"

#include <algorithm>
#include <cmath>

namespace lagoon::policy {

namespace {

/// Reports lag, and an unload may come first: a load that takes this much longer than undisturbed was slowed.
constexpr double slowed = 1.2;
/// Of a load that has ended in its time, beside as many others as are thought possible: one more may be.
constexpr double placesMore = 1;
constexpr double fewest = 1;
constexpr double most = 64;

} // namespace

double StoreConcurrencyEstimator::secondsBetween(framework::SteadyTime from, framework::SteadyTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

void StoreConcurrencyEstimator::observe(
    const std::map<std::string, framework::Milliseconds>& loads, framework::SteadyTime now)
{
    for (auto known = loads_.begin(); known != loads_.end();) {
        known->second.concurrencySeconds
            += secondsBetween(known->second.at, now) * static_cast<double>(std::max<std::size_t>(1, loads.size()));
        known->second.at = now;
        const bool hasEnded = !loads.contains(known->first);
        updateFrom(known->second, now, hasEnded);
        known = hasEnded ? loads_.erase(known) : std::next(known);
    }
    for (const auto& [engine, uncontended] : loads)
        loads_.try_emplace(engine, Load { now, now, uncontended, 0 });
}

void StoreConcurrencyEstimator::updateFrom(const Load& load, framework::SteadyTime now, bool hasEnded)
{
    const double took = secondsBetween(load.since, now);
    const double uncontended = std::chrono::duration<double>(load.uncontended).count();
    if (took <= 0 || uncontended <= 0)
        return;
    const double together = load.concurrencySeconds / took;
    if (took > slowed * uncontended)
        // At `slots` / `together` of full speed it would have needed just this long.
        slots_ = std::clamp(std::min(slots_, together * uncontended / took), fewest, most);
    else if (hasEnded && took > uncontended / slowed && together >= slots_)
        slots_ = std::min(most, slots_ + placesMore);
}

std::size_t StoreConcurrencyEstimator::slots() const { return static_cast<std::size_t>(std::lround(slots_)); }

} // namespace lagoon::policy
