#include "agent/internal/servicetimes.h"

#include <algorithm>
#include <cmath>

namespace lagoon::agent {

using framework::Milliseconds;

namespace {

/// Weight of the latest measurement in the moving averages.
constexpr double smoothingFactor = 0.1;
/// Distance from the mean to the tenth and ninetieth percentile, in mean absolute deviations (of a normal
/// distribution).
constexpr double deviationsToTail = 1.6;
/// Lower bound of the deviation, as a fraction of the mean; the same as for load times.
constexpr double minRelativeDeviation = 0.1;

std::string keyOf(const Target& target)
{
    return target.service.value() + "\n" + target.replica.model.value() + "\n" + target.replica.adapter.value();
}

Milliseconds milliseconds(double number) { return Milliseconds(static_cast<std::int64_t>(std::max(0.0, number))); }

} // namespace

void ServiceTimes::record(const Target& target, Milliseconds took)
{
    const auto number = static_cast<double>(took.count());
    update(all_, number);
    update(byTarget_[keyOf(target)], number);
}

std::optional<policy::LoadTimeEstimate> ServiceTimes::estimateFor(const Target& target) const
{
    const auto found = byTarget_.find(keyOf(target));
    if (found == byTarget_.end())
        return std::nullopt;
    return estimate(found->second);
}

void ServiceTimes::update(Average& average, double milliseconds)
{
    if (!average.isKnown) {
        average = { milliseconds, 0, true };
        return;
    }
    average.deviation += smoothingFactor * (std::abs(milliseconds - average.mean) - average.deviation);
    average.mean += smoothingFactor * (milliseconds - average.mean);
}

policy::LoadTimeEstimate ServiceTimes::estimate(const Average& average)
{
    const double tail = deviationsToTail * std::max(average.deviation, minRelativeDeviation * average.mean);
    return { milliseconds(average.mean - tail), milliseconds(average.mean), milliseconds(average.mean + tail) };
}

} // namespace lagoon::agent
