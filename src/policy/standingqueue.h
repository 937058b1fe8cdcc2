#pragma once

#include "framework/types/time.h"

#include <optional>

namespace lagoon::policy {

/// Tells a queue that stays from one that a burst leaves behind and that goes by itself.
///
/// An engine that is asked for more than it can do makes everyone late: each request waits as long as callers bear, and
/// of those that are served hardly one is in time. If what comes is refused instead while the queue stays longer than
/// the target, the engine serves as many, and most of them in time. A queue counts as staying once arrivals have found
/// it longer than the target for as long as the target, and a second at least; and until none
/// has for as long again, or it would be let grow anew each time that it has just become short enough.
class StandingQueue {
public:
    /// `expected`: the wait of a request that comes now.
    void didArrive(framework::Milliseconds expected, framework::Milliseconds target, framework::SteadyTime now);
    /// Whether who finds it longer than the target is to be refused.
    bool isStanding(framework::Milliseconds target, framework::SteadyTime now) const;

private:
    std::optional<framework::SteadyTime> aboveTargetSince_;
    framework::SteadyTime lastAboveTarget_ {};
};

} // namespace lagoon::policy
