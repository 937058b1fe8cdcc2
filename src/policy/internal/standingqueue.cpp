#include "policy/standingqueue.h"

#include <algorithm>

namespace lagoon::policy {

using framework::Milliseconds;
using framework::SteadyTime;

namespace {

/// However short the target: those who waited for a model's load all queue when it has ended, and the queue that they
/// leave goes within this.
constexpr Milliseconds leastStanding { 1000 };

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
        && now - *aboveTargetSince_ >= std::max(target, leastStanding);
}

} // namespace lagoon::policy
