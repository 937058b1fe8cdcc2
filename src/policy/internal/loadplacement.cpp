#include "policy/internal/loadplacement.h"

#include <algorithm>
#include <limits>

namespace lagoon::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// Idle time in seconds after which a victim is considered half as likely to be needed again.
constexpr double victimHalfLifeSeconds = 600;
/// Cost in seconds for each running request, since a load takes bandwidth from the requests beside it.
constexpr double secondsPerRunning = 0.05;
/// Bids whose cost exceeds the lowest one by at most this share plus these seconds count as equal.
constexpr double toleranceShare = 0.1;
constexpr double toleranceSeconds = 0.5;

double seconds(framework::Milliseconds duration) { return Seconds(duration).count(); }

double cost(const LoadBid& bid)
{
    const double load = seconds(bid.expectedLoad);
    double sum = load + secondsPerRunning * bid.running;
    if (bid.evictedMemory.value() > 0)
        sum += load * victimHalfLifeSeconds / (victimHalfLifeSeconds + seconds(bid.victimIdle));
    return sum;
}

} // namespace

std::optional<std::size_t> CheapestLoadPlacement::choose(const std::vector<LoadBid>& bids) const
{
    double lowestCost = std::numeric_limits<double>::infinity();
    for (const LoadBid& bid : bids) {
        if (bid.canLoad)
            lowestCost = std::min(lowestCost, cost(bid));
    }
    const double acceptable = lowestCost * (1 + toleranceShare) + toleranceSeconds;
    for (std::size_t index = 0; index < bids.size(); ++index) {
        if (bids[index].canLoad && cost(bids[index]) <= acceptable)
            return index;
    }
    return std::nullopt;
}

} // namespace lagoon::policy
