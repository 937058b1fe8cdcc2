#include "policy/loadtimeestimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoon::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// Assumed speed of a load before anything was measured.
struct AssumedSpeed {
    double fixedSeconds;
    double mebiBytesPerSecond;
};
/// Indexed by CheckpointLocation.
constexpr std::array<AssumedSpeed, 3> assumedSpeeds { AssumedSpeed { 1, 10000 }, AssumedSpeed { 2, 2500 },
    AssumedSpeed { 3, 1000 } };

constexpr double decayHalfLifeSeconds = 180;
/// Weight of a new measurement in an exponential moving average. The first measurements of a target weigh more.
constexpr double newWeight = 0.3;
/// Mean absolute deviation of the logarithm that is assumed before the first measurement.
constexpr double initialDeviation = 0.5;
/// Lower bound of the mean absolute deviation in estimates.
constexpr double minDeviation = 0.1;
/// Distance from the median to the tenth and ninetieth percentiles of a normal distribution, in mean absolute
/// deviations.
constexpr double deviationsToTail = 1.6;

double assumedSeconds(CheckpointLocation location, framework::MebiBytes memory)
{
    const AssumedSpeed& speed = assumedSpeeds[static_cast<std::size_t>(location)];
    return speed.fixedSeconds + static_cast<double>(memory.value()) / speed.mebiBytesPerSecond;
}

framework::Milliseconds milliseconds(double seconds)
{
    return std::chrono::duration_cast<framework::Milliseconds>(Seconds(seconds));
}

double weightOfNew(std::uint32_t samples) { return std::max(newWeight, 1.0 / (samples + 1)); }

} // namespace

void LoadTimeEstimator::record(const std::string& target, CheckpointLocation location, framework::MebiBytes memory,
    framework::Milliseconds took, framework::SteadyTime now)
{
    const auto index = static_cast<std::size_t>(location);
    Factor& locationFactor = locationFactors_[index];
    Factor& targetFactor = targets_[target][index];
    const double measured = std::max(0.001, Seconds(took).count());
    const double logarithm = std::log(measured / assumedSeconds(location, memory));
    const double residual = logarithm - decayed(locationFactor, now) - targetFactor.logarithm;

    locationFactor.logarithm = decayed(locationFactor, now) + newWeight * residual;
    locationFactor.last = now;
    ++locationFactor.samples;

    const double weight = weightOfNew(targetFactor.samples);
    targetFactor.logarithm += (1 - newWeight) * weight * residual;
    const double oldDeviation = targetFactor.samples == 0 ? initialDeviation : targetFactor.deviation;
    targetFactor.deviation = oldDeviation + newWeight * (std::abs(residual) - oldDeviation);
    targetFactor.last = now;
    ++targetFactor.samples;
}

void LoadTimeEstimator::recordUnfinished(const std::string& target, CheckpointLocation location,
    framework::MebiBytes memory, framework::Milliseconds elapsed, framework::SteadyTime now)
{
    const LoadTimeEstimate expected = estimate(target, location, memory, now);
    if (elapsed <= expected.typical)
        return;
    Factor& locationFactor = locationFactors_[static_cast<std::size_t>(location)];
    locationFactor.logarithm
        = decayed(locationFactor, now) + std::log(Seconds(elapsed).count() / Seconds(expected.typical).count());
    locationFactor.last = now;
}

LoadTimeEstimate LoadTimeEstimator::estimate(const std::string& target, CheckpointLocation location,
    framework::MebiBytes memory, framework::SteadyTime now) const
{
    const auto index = static_cast<std::size_t>(location);
    double logarithm = decayed(locationFactors_[index], now);
    double deviation = initialDeviation;
    if (const auto found = targets_.find(target); found != targets_.end() && found->second[index].samples > 0) {
        logarithm += found->second[index].logarithm;
        deviation = std::max(minDeviation, found->second[index].deviation);
    }
    const double typical = assumedSeconds(location, memory) * std::exp(logarithm);
    const double spread = std::exp(deviationsToTail * deviation);
    return { milliseconds(typical / spread), milliseconds(typical), milliseconds(typical * spread) };
}

double LoadTimeEstimator::decayed(const Factor& factor, framework::SteadyTime now)
{
    const double age = Seconds(now - factor.last).count();
    return factor.logarithm * std::exp2(-std::max(0.0, age) / decayHalfLifeSeconds);
}

} // namespace lagoon::policy
