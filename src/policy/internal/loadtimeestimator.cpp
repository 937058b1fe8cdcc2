#include "policy/loadtimeestimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoon::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// What a load takes before anything was measured.
struct Guess {
    double fixedSeconds;
    double mebiBytesPerSecond;
};
/// By CheckpointLocation.
constexpr std::array<Guess, 3> guesses { Guess { 1, 10000 }, Guess { 2, 2500 }, Guess { 3, 1000 } };

constexpr double fadingHalfLifeSeconds = 180;
/// Share of a new measurement in an average, once there are some.
constexpr double newShare = 0.3;
/// Mean absolute deviation of the logarithm that is assumed at first, and the least that is believed later.
constexpr double firstDeviation = 0.5;
constexpr double leastDeviation = 0.1;
/// Mean absolute deviations to the tenth and ninetieth percentile (of a normal distribution).
constexpr double deviationsToTail = 1.6;

double guessedSeconds(CheckpointLocation location, framework::MebiBytes memory)
{
    const Guess& guess = guesses[static_cast<std::size_t>(location)];
    return guess.fixedSeconds + static_cast<double>(memory.value()) / guess.mebiBytesPerSecond;
}

framework::Milliseconds milliseconds(double seconds)
{
    return std::chrono::duration_cast<framework::Milliseconds>(Seconds(seconds));
}

double shareOfNew(std::uint32_t samples) { return std::max(newShare, 1.0 / (samples + 1)); }

} // namespace

void LoadTimeEstimator::record(const std::string& target, CheckpointLocation location, framework::MebiBytes memory,
    framework::Milliseconds took, framework::SteadyTime now)
{
    const auto index = static_cast<std::size_t>(location);
    Factor& ofPlace = locationFactors_[index];
    Factor& ofTarget = targets_[target][index];
    const double measured = std::max(0.001, Seconds(took).count());
    const double logarithm = std::log(measured / guessedSeconds(location, memory));
    const double surprise = logarithm - decayed(ofPlace, now) - ofTarget.logarithm;

    ofPlace.logarithm = decayed(ofPlace, now) + newShare * surprise;
    ofPlace.last = now;
    ++ofPlace.samples;

    const double share = shareOfNew(ofTarget.samples);
    ofTarget.logarithm += (1 - newShare) * share * surprise;
    const double oldDeviation = ofTarget.samples == 0 ? firstDeviation : ofTarget.deviation;
    ofTarget.deviation = oldDeviation + newShare * (std::abs(surprise) - oldDeviation);
    ofTarget.last = now;
    ++ofTarget.samples;
}

void LoadTimeEstimator::recordUnfinished(const std::string& target, CheckpointLocation location,
    framework::MebiBytes memory, framework::Milliseconds elapsed, framework::SteadyTime now)
{
    const LoadTimeEstimate expected = estimate(target, location, memory, now);
    if (elapsed <= expected.typical)
        return;
    Factor& ofPlace = locationFactors_[static_cast<std::size_t>(location)];
    ofPlace.logarithm = decayed(ofPlace, now) + std::log(Seconds(elapsed).count() / Seconds(expected.typical).count());
    ofPlace.last = now;
}

LoadTimeEstimate LoadTimeEstimator::estimate(const std::string& target, CheckpointLocation location,
    framework::MebiBytes memory, framework::SteadyTime now) const
{
    const auto index = static_cast<std::size_t>(location);
    double logarithm = decayed(locationFactors_[index], now);
    double deviation = firstDeviation;
    if (const auto found = targets_.find(target); found != targets_.end() && found->second[index].samples > 0) {
        logarithm += found->second[index].logarithm;
        deviation = std::max(leastDeviation, found->second[index].deviation);
    }
    const double typical = guessedSeconds(location, memory) * std::exp(logarithm);
    const double spread = std::exp(deviationsToTail * deviation);
    return { milliseconds(typical / spread), milliseconds(typical), milliseconds(typical * spread) };
}

double LoadTimeEstimator::decayed(const Factor& factor, framework::SteadyTime now)
{
    const double age = Seconds(now - factor.last).count();
    return factor.logarithm * std::exp2(-std::max(0.0, age) / fadingHalfLifeSeconds);
}

} // namespace lagoon::policy
