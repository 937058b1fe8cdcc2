#include "policy/internal/loadorder.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lagoon::policy {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double assumedLoadSeconds = 20;
/// A load's value grows with the square of its waiting over this, so that nothing waits forever.
constexpr double agingSeconds = 30;
/// What is left of the value of a load that ends after its earliest deadline; others may wait for it longer.
constexpr double lateShare = 0.1;

/// Callers served per second of the store's place, the greatest first.
double value(const PendingLoad& load, framework::SteadyTime now)
{
    const double expected = load.expectedLoad.count() > 0 ? Seconds(load.expectedLoad).count() : assumedLoadSeconds;
    const double waited = std::max(0.0, Seconds(now - load.since).count());
    const double crowd = std::sqrt(std::max<std::uint32_t>(1, load.waiters));
    const double aging = std::pow(1 + waited / agingSeconds, 2);
    const double slack = Seconds(load.earliestDeadline.at() - now).count() - expected;
    // The nearer the deadline, up to twice the value.
    const double urgency = slack < 0 ? lateShare : 1 + expected / (expected + slack);
    return (1 + load.priority) * crowd / expected * aging * urgency;
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
    std::vector<PendingLoad> left = loads;
    std::vector<std::size_t> indices(loads.size());
    std::iota(indices.begin(), indices.end(), std::size_t { 0 });
    std::vector<std::size_t> sequence;
    while (const auto next = order.next(left, now)) {
        const auto offset = static_cast<std::ptrdiff_t>(*next);
        sequence.push_back(indices[*next]);
        left.erase(left.begin() + offset);
        indices.erase(indices.begin() + offset);
    }
    return sequence;
}

} // namespace lagoon::policy
