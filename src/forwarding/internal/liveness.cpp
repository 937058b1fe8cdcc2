#include "forwarding/liveness.h"

#include <algorithm>

namespace lagoon::forwarding {

namespace {

using framework::Deadline;
using framework::Milliseconds;

/// Several times the longest pause between the events of a sound engine's streams.
constexpr Milliseconds silentAfter { 400 };
/// However long the engine's queue is thought to be.
constexpr Milliseconds longestQueue { 1100 };
/// Seldom, since each probe may be one more request that is read when its caller has left.
constexpr Milliseconds probeEach { 5000 };

} // namespace

void Liveness::didSend(framework::SteadyTime now, Milliseconds expected)
{
    if (isSilent(now))
        probeAt_ = Deadline::after(now, probeEach);
    if (!signBy_)
        signBy_ = Deadline::after(now, silentAfter + std::min(longestQueue, expected));
}

bool Liveness::mayProbe(framework::SteadyTime now) const
{
    if (probeAt_)
        return probeAt_->hasPassed(now);
    return !signBy_ || now - signBy_->at() >= probeEach;
}

void Liveness::didHear(framework::SteadyTime now, std::size_t owed)
{
    signBy_.reset();
    probeAt_.reset();
    if (owed > 0)
        signBy_ = Deadline::after(now, silentAfter);
}

} // namespace lagoon::forwarding
