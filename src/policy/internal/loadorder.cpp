#include "policy/internal/loadorder.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoon::policy {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double assumedLoadSeconds = 20;
/// A load's value grows with the square of (1 + its waiting time divided by this), so that no load waits forever.
constexpr double agingSeconds = 30;
/// Factor on the value of a load that ends after its earliest deadline. It isn't 0, as other requests for the same load
/// may have later deadlines.
constexpr double lateFactor = 0.1;

/// Value of a load: the waiting requests that it serves per second of a store slot, weighted by priority, waiting time
/// and deadline.
double value(const PendingLoad& load, framework::SteadyTime now)
{
    const double expected = load.expectedLoad.count() > 0 ? Seconds(load.expectedLoad).count() : assumedLoadSeconds;
    const double waited = std::max(0.0, Seconds(now - load.since).count());
    const double waiterFactor = std::sqrt(std::max<std::uint32_t>(1, load.waiters));
    const double aging = std::pow(1 + waited / agingSeconds, 2);
    const double slack = Seconds(load.earliestDeadline.at() - now).count() - expected;
    // A nearer deadline raises the value, up to twice.
    const double urgency = slack < 0 ? lateFactor : 1 + expected / (expected + slack);
    return (1 + load.priority) * waiterFactor / expected * aging * urgency;
}

} // namespace

std::optional<std::size_t> ValueLoadOrder::next(const std::vector<PendingLoad>& loads, framework::SteadyTime now) const
{
    std::optional<std::size_t> best;
    double greatest = 0;
    for (std::size_t index = 0; index < loads.size(); ++index) {
        const double worth = value(loads[index], now);
        if (best && worth <= greatest)
            continue;
        best = index;
        greatest = worth;
    }
    return best;
}

std::vector<std::size_t> loadSequence(
    const ILoadOrder& order, const std::vector<PendingLoad>& loads, framework::SteadyTime now)
{
    std::vector<PendingLoad> remaining = loads;
    std::vector<std::size_t> indices(loads.size());
    std::iota(indices.begin(), indices.end(), std::size_t { 0 });
    std::vector<std::size_t> sequence;
    while (const auto next = order.next(remaining, now)) {
        const auto offset = static_cast<std::ptrdiff_t>(*next);
        sequence.push_back(indices[*next]);
        remaining.erase(remaining.begin() + offset);
        indices.erase(indices.begin() + offset);
    }
    return sequence;
}

} // namespace lagoon::policy
