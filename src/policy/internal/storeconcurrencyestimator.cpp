#include "policy/storeconcurrencyestimator.h"

#include <algorithm>
#include <cmath>

namespace lagoon::policy {

namespace {

/// A load counts as slowed down if it takes longer than this multiple of its uncontended time. The tolerance allows for
/// delayed reports and for an unload that precedes the load.
constexpr double slowdownThreshold = 1.2;
/// Added to the estimate when a load has ended in time while all estimated slots were in use.
constexpr double slotsIncrement = 1;
constexpr double minSlots = 1;
constexpr double maxSlots = 64;

} // namespace

double StoreConcurrencyEstimator::secondsBetween(framework::SteadyTime from, framework::SteadyTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

void StoreConcurrencyEstimator::observe(
    const std::map<std::string, framework::Milliseconds>& loads, framework::SteadyTime now)
{
    for (auto known = loads_.begin(); known != loads_.end();) {
        known->second.concurrencySeconds += secondsBetween(known->second.updatedAt, now)
            * static_cast<double>(std::max<std::size_t>(1, loads.size()));
        known->second.updatedAt = now;
        const bool hasEnded = !loads.contains(known->first);
        updateFrom(known->second, now, hasEnded);
        known = hasEnded ? loads_.erase(known) : std::next(known);
    }
    for (const auto& [engine, uncontended] : loads)
        loads_.try_emplace(engine, Load { now, now, uncontended, 0 });
}

void StoreConcurrencyEstimator::updateFrom(const Load& load, framework::SteadyTime now, bool hasEnded)
{
    const double took = secondsBetween(load.startedAt, now);
    const double uncontended = std::chrono::duration<double>(load.uncontended).count();
    if (took <= 0 || uncontended <= 0)
        return;
    const double meanConcurrency = load.concurrencySeconds / took;
    if (took > slowdownThreshold * uncontended)
        // The load would have taken exactly this long at `slots_` / `meanConcurrency` of full speed.
        slots_ = std::clamp(std::min(slots_, meanConcurrency * uncontended / took), minSlots, maxSlots);
    else if (hasEnded && took > uncontended / slowdownThreshold && meanConcurrency >= slots_)
        slots_ = std::min(maxSlots, slots_ + slotsIncrement);
}

std::size_t StoreConcurrencyEstimator::slots() const { return static_cast<std::size_t>(std::lround(slots_)); }

} // namespace lagoon::policy
