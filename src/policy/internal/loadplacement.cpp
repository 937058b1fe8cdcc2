#include "policy/internal/loadplacement.h"

#include <algorithm>
#include <limits>

namespace lagoon::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// Idle time after which a victim is thought half as likely to be missed.
constexpr double victimHalfLifeSeconds = 600;
/// What each running request adds: a load takes bandwidth from its neighbours.
constexpr double secondsPerRunning = 0.05;
/// Bids within this of the best are equal.
constexpr double nearlyAsGoodShare = 0.1;
constexpr double nearlyAsGoodSeconds = 0.5;

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
    double least = std::numeric_limits<double>::infinity();
    for (const LoadBid& bid : bids) {
        if (bid.canLoad)
            least = std::min(least, cost(bid));
    }
    const double acceptable = least * (1 + nearlyAsGoodShare) + nearlyAsGoodSeconds;
    for (std::size_t index = 0; index < bids.size(); ++index) {
        if (bids[index].canLoad && cost(bids[index]) <= acceptable)
            return index;
    }
    return std::nullopt;
}

} // namespace lagoon::policy
