#pragma once

#include "framework/types/time.h"
#include "policy/loadtimeestimator.h"

#include <cstdint>

namespace lagoon::policy {

/// What stands before a load at its home.
struct LoadQueue {
    /// Loads that start before it, and those running now.
    std::uint32_t ahead = 0;
    std::uint32_t running = 0;
    /// The home's share of the weight store.
    std::uint32_t slots = 1;
    double loadsPerSecond = 1;
    /// Of the loads ahead.
    LoadTimeEstimate perLoad;
};

/// When a load will have ended, from now.
struct LoadForecast {
    framework::Milliseconds soonest { 0 };
    framework::Milliseconds expected { 0 };
    framework::Milliseconds latest { 0 };
};

/// Of a load that waits for its place. A load that doesn't use the weight store has an empty queue.
LoadForecast forecastWaiting(const LoadTimeEstimate& own, const LoadQueue&);
/// Of a load that started `elapsed` ago. One that has outlived its estimate is thought to need as long again as it has
/// by now taken too long, so that it isn't forever "ready in a moment".
LoadForecast forecastRunning(const LoadTimeEstimate& own, framework::Milliseconds elapsed);

/// Whether a request that needs the load can't be answered in time. Errs towards waiting: only if even the soonest end
/// is too late. A request refused wrongly is lost, one kept wrongly is refused at its deadline, as without this rule.
/// `minAnswerTime` is the least time the answer itself takes.
bool isHopeless(
    const LoadForecast&, framework::Deadline, framework::Milliseconds minAnswerTime, framework::SteadyTime now);

/// The same for a place in the queue of a running replica, where it errs the other way: a request that is started and
/// then ends too late has taken the time of another one, so that past saturation hardly any would be in time.
bool isLikelyTooLate(const LoadForecast&, framework::Deadline, framework::SteadyTime now);

/// When to come back after a refusal: the load is likely to have ended. `random`, in [0, 1), spreads the callers over
/// a fifth more, or all who were refused together would come back together.
framework::Milliseconds retryAfterFor(const LoadForecast&, double random);

} // namespace lagoon::policy
