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
    if (!longerSince_ || now - lastLonger_ > target)
        longerSince_ = now;
    lastLonger_ = now;
}

bool StandingQueue::isStanding(Milliseconds target, SteadyTime now) const
{
    return longerSince_ && now - lastLonger_ <= target && now - *longerSince_ >= std::max(target, leastStanding);
}

} // namespace lagoon::policy
