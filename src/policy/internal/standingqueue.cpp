#include "policy/standingqueue.h"

namespace lagoon::policy {

bool StandingQueue::didArrive(
    framework::Milliseconds expected, framework::Milliseconds target, framework::SteadyTime now)
{
    if (longerSince_ && now - lastLonger_ > target)
        longerSince_.reset();
    if (expected <= target)
        return false;
    if (!longerSince_)
        longerSince_ = now;
    lastLonger_ = now;
    return now - *longerSince_ >= target;
}

} // namespace lagoon::policy
