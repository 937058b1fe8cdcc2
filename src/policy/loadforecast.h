#pragma once

#include "framework/types/time.h"
#include "policy/loadtimeestimator.h"

#include <cstdint>

namespace lagoon::policy {

/// The loads that a load has to wait for at its home router, which starts the loads of its target.
struct LoadQueue {
    /// Number of loads that start before it.
    std::uint32_t ahead = 0;
    /// Number of loads that are running now.
    std::uint32_t running = 0;
    /// The home router's share of the weight store's slots.
    std::uint32_t slots = 1;
    double loadsPerSecond = 1;
    /// Estimated duration of each load ahead.
    LoadTimeEstimate perLoad;
};

/// Time from now until a load has ended.
struct LoadForecast {
    framework::Milliseconds soonest { 0 };
    framework::Milliseconds expected { 0 };
    framework::Milliseconds latest { 0 };
};

/// Forecast for a load that waits for a slot. The queue of a load that doesn't use the weight store is empty.
LoadForecast forecastWaiting(const LoadTimeEstimate& own, const LoadQueue&);
/// Forecast for a load that started `elapsed` ago. A load that exceeds its estimate is assumed to need as much time
/// again as it is overdue by now, so that a stuck load isn't forever forecast to end in a moment.
LoadForecast forecastRunning(const LoadTimeEstimate& own, framework::Milliseconds elapsed);

/// Whether a request that needs the load can't be answered in time. Errs towards waiting: true only if even the soonest
/// end of the load is too late. A request that is refused wrongly is lost, whereas one that is kept wrongly is refused
/// at its deadline, just as without this rule. `minAnswerTime` is the shortest time that the answer itself takes.
bool isHopeless(
    const LoadForecast&, framework::Deadline, framework::Milliseconds minAnswerTime, framework::SteadyTime now);

/// Whether a request in the queue of a running replica is likely to be answered too late. Errs towards refusing, unlike
/// `isHopeless`: a request that is started and ends too late has taken the time of another request, so that beyond
/// saturation hardly any request would be answered in time.
bool isLikelyTooLate(const LoadForecast&, framework::Deadline, framework::SteadyTime now);

/// Returns the time after which a refused caller should retry: by then the load is likely to have ended. `random` in
/// [0, 1) adds up to a fifth as jitter, so that callers that were refused together don't retry together.
framework::Milliseconds retryAfterFor(const LoadForecast&, double random);

} // namespace lagoon::policy
