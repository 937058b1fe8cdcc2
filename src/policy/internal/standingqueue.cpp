#include "policy/standingqueue.h"

#include <algorithm>

namespace lagoon::policy {

using framework::Milliseconds;
using framework::SteadyTime;

namespace {

/// Lower bound of the time after which a queue counts as standing, however short the target is. When a model's load
/// ends, all requests that waited for it queue at once, and their queue drains within this time.
constexpr Milliseconds minStandingTime { 1000 };

} // namespace

void StandingQueue::didArrive(Milliseconds expected, Milliseconds target, SteadyTime now)
{
    if (expected <= target)
        return;
    if (!aboveTargetSince_ || now - lastAboveTarget_ > target)
        aboveTargetSince_ = now;
    lastAboveTarget_ = now;
}

bool StandingQueue::isStanding(Milliseconds target, SteadyTime now) const
{
    return aboveTargetSince_ && now - lastAboveTarget_ <= target
        && now - *aboveTargetSince_ >= std::max(target, minStandingTime);
}

} // namespace lagoon::policy
