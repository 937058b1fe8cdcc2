#pragma once

#include "framework/types/time.h"

namespace lagoon::direct {

/// The moments of a router's end, all within its grace period and in this order.
struct DrainPlan {
    /// Until then new requests are taken: balancers may not have noticed yet.
    framework::Deadline takesUntil;
    /// Each request has its final answer by then.
    framework::Deadline answersBy;
    /// By then the answers have left, and the process ends.
    framework::Deadline endsBy;
};

/// `grace` is the time from `begun` until the process is ended by force.
DrainPlan drainPlan(framework::SteadyTime begun, framework::Milliseconds grace);

} // namespace lagoon::direct
