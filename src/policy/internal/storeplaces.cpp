#include "policy/storeplaces.h"

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

double StorePlaces::seconds(framework::SteadyTime from, framework::SteadyTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

void StorePlaces::observe(const std::map<std::string, framework::Milliseconds>& loads, framework::SteadyTime now)
{
    for (auto known = loads_.begin(); known != loads_.end();) {
        known->second.shared
            += seconds(known->second.at, now) * static_cast<double>(std::max<std::size_t>(1, loads.size()));
        known->second.at = now;
        const bool hasEnded = !loads.contains(known->first);
        learnFrom(known->second, now, hasEnded);
        known = hasEnded ? loads_.erase(known) : std::next(known);
    }
    for (const auto& [engine, undisturbed] : loads)
        loads_.try_emplace(engine, Load { now, now, undisturbed, 0 });
}

void StorePlaces::learnFrom(const Load& load, framework::SteadyTime now, bool hasEnded)
{
    const double took = seconds(load.since, now);
    const double undisturbed = std::chrono::duration<double>(load.undisturbed).count();
    if (took <= 0 || undisturbed <= 0)
        return;
    const double together = load.shared / took;
    if (took > slowed * undisturbed)
        // At `places` / `together` of full speed it would have needed just this long.
        places_ = std::clamp(std::min(places_, together * undisturbed / took), fewest, most);
    else if (hasEnded && took > undisturbed / slowed && together >= places_)
        places_ = std::min(most, places_ + placesMore);
}

std::size_t StorePlaces::places() const { return static_cast<std::size_t>(std::lround(places_)); }

} // namespace lagoon::policy
