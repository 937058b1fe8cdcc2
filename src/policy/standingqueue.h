#pragma once

#include "framework/types/time.h"

#include <optional>

namespace lagoon::policy {

/// Distinguishes a standing queue from one that a burst leaves behind and that drains by itself.
///
/// An overloaded engine makes all requests late: each waits as long as its caller tolerates, and of those that are
/// served hardly one is in time. If arriving requests are refused while the queue stays above the target, the engine
/// serves as many requests, and most of them in time. A queue counts as standing once arrivals have found it above the
/// target for as long as the target, and for a second at least. It stops counting as standing once no arrival has found
/// it above the target for as long as the target; otherwise it would grow again each time it has just become short.
class StandingQueue {
public:
    /// Records an arrival. `expected` is the expected wait of a request that arrives now, `target` the wait that should
    /// not be exceeded.
    void didArrive(framework::Milliseconds expected, framework::Milliseconds target, framework::SteadyTime now);
    /// Whether a request that finds the queue above the target has to be refused.
    bool isStanding(framework::Milliseconds target, framework::SteadyTime now) const;

private:
    std::optional<framework::SteadyTime> aboveTargetSince_;
    framework::SteadyTime lastAboveTarget_ {};
};

} // namespace lagoon::policy
