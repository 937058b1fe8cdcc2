#include "policy/loadforecast.h"

#include <algorithm>

namespace lagoon::policy {

namespace {

constexpr double retryJitter = 0.2;
constexpr framework::Milliseconds minRetryAfter { 1000 };

/// Returns the time until a slot is free. The loads ahead pass through the slots in rounds; on average, the running
/// loads are half done. `runningLeft` is the share of a load that each running load still needs in this estimate.
framework::Milliseconds untilStart(const LoadQueue& queue, framework::Milliseconds perLoad, double runningLeft)
{
    const double slots = std::max<std::uint32_t>(1, queue.slots);
    const double loadsBefore = queue.ahead + runningLeft * queue.running;
    const double rounds = std::max(0.0, (loadsBefore - (slots - 1) * runningLeft) / slots);
    const double bySlots = queue.ahead + queue.running < slots ? 0 : rounds * static_cast<double>(perLoad.count());
    const double byRate = queue.loadsPerSecond > 0 ? 1000.0 * queue.ahead / queue.loadsPerSecond : 0;
    return framework::Milliseconds(static_cast<std::int64_t>(std::max(bySlots, byRate)));
}

/// Remaining time of a load. An overdue load is assumed to need as much time again as it is overdue.
framework::Milliseconds remainingTime(framework::Milliseconds estimate, framework::Milliseconds elapsed)
{
    return elapsed < estimate ? estimate - elapsed : elapsed - estimate;
}

} // namespace

LoadForecast forecastWaiting(const LoadTimeEstimate& own, const LoadQueue& queue)
{
    return { untilStart(queue, queue.perLoad.low, 0) + own.low,
        untilStart(queue, queue.perLoad.typical, 0.5) + own.typical,
        untilStart(queue, queue.perLoad.high, 1) + own.high };
}

LoadForecast forecastRunning(const LoadTimeEstimate& own, framework::Milliseconds elapsed)
{
    const framework::Milliseconds none { 0 };
    const framework::Milliseconds soonest = std::max(none, own.low - elapsed);
    const framework::Milliseconds expected = std::max(soonest, remainingTime(own.typical, elapsed));
    return { soonest, expected, std::max(expected, remainingTime(own.high, elapsed)) };
}

bool isHopeless(const LoadForecast& forecast, framework::Deadline deadline, framework::Milliseconds minAnswerTime,
    framework::SteadyTime now)
{
    return now + forecast.soonest + minAnswerTime > deadline.at();
}

bool isLikelyTooLate(const LoadForecast& forecast, framework::Deadline deadline, framework::SteadyTime now)
{
    return now + forecast.latest > deadline.at();
}

framework::Milliseconds retryAfterFor(const LoadForecast& forecast, double random)
{
    const double jitter = 1 + retryJitter * random;
    const auto wait = static_cast<std::int64_t>(static_cast<double>(forecast.expected.count()) * jitter);
    return std::max(minRetryAfter, framework::Milliseconds(wait));
}

} // namespace lagoon::policy
