#include "policy/internal/loadorder.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lagoon::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// A step of priority is worth this much slack.
constexpr double secondsPerPriority = 10;
/// A load that comes too late for its deadline is put back by this much.
constexpr double hopelessPenaltySeconds = 120;

/// In seconds; the least goes first.
double rank(const PendingLoad& load, framework::SteadyTime now)
{
    const double slack = Seconds(load.earliestDeadline.at() - now - load.expectedLoad).count();
    const double crowd = 1 + std::log2(std::max<std::uint32_t>(1, load.waiters));
    const double waited = Seconds(now - load.since).count();
    const double urgency = slack >= 0 ? slack / crowd : hopelessPenaltySeconds;
    return urgency - waited - secondsPerPriority * load.priority;
}

} // namespace

std::optional<std::size_t> UrgencyLoadOrder::next(
    const std::vector<PendingLoad>& loads, framework::SteadyTime now) const
{
    std::optional<std::size_t> best;
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < loads.size(); ++index) {
        const double value = rank(loads[index], now);
        if (best && value >= least)
            continue;
        best = index;
        least = value;
    }
    return best;
}

} // namespace lagoon::policy
