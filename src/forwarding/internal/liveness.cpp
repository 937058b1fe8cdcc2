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

/// An engine's pauses are as long as the pieces in which it reads prompts: up to a few of the longest that it made
/// lately mean nothing.
constexpr double pausesOfSound = 2.5;
constexpr Milliseconds leastPause { 100 };
/// A pause is forgotten within about two hundred signs, which a busy engine gives in a second.
constexpr double fadePerSign = 0.99;

} // namespace

void Liveness::didSend(framework::SteadyTime now, Milliseconds expected)
{
    if (isSilent(now))
        probeAt_ = Deadline::after(now, probeEach);
    if (signBy_)
        return;
    pauseSince_ = now + std::min(longestQueue, expected);
    signBy_ = Deadline::after(pauseSince_, silentAfter);
}

bool Liveness::isPausing(framework::SteadyTime now) const
{
    const Milliseconds usual(static_cast<std::int64_t>(pausesOfSound * longestPause_));
    return signBy_ && now - pauseSince_ >= std::clamp(usual, leastPause, silentAfter);
}

bool Liveness::mayProbe(framework::SteadyTime now) const
{
    if (probeAt_)
        return probeAt_->hasPassed(now);
    return !signBy_ || now - signBy_->at() >= probeEach;
}

void Liveness::didHear(framework::SteadyTime now, std::size_t owed)
{
    if (signBy_ && now > pauseSince_)
        longestPause_ = std::max(std::chrono::duration<double, std::milli>(now - pauseSince_).count(), longestPause_);
    longestPause_ *= fadePerSign;
    pauseSince_ = now;
    signBy_.reset();
    probeAt_.reset();
    if (owed > 0)
        signBy_ = Deadline::after(now, silentAfter);
}

} // namespace lagoon::forwarding
