#include "forwarding/liveness.h"

#include <algorithm>

namespace lagoon::forwarding {

namespace {

using framework::Deadline;
using framework::Milliseconds;

/// Several times the longest pause between the events of a sound engine's streams.
constexpr Milliseconds silenceTimeout { 400 };
/// However long the engine's queue is thought to be.
constexpr Milliseconds maxQueueTime { 1100 };
/// Seldom, since each probe may be one more request that is read when its caller has left.
constexpr Milliseconds probeInterval { 5000 };

/// An engine's pauses are as long as the pieces in which it reads prompts: up to a few of the longest that it made
/// lately mean nothing.
constexpr double pauseFactor = 2.5;
constexpr Milliseconds minPause { 100 };
/// A pause is forgotten within about two hundred signs, which a busy engine gives in a second.
constexpr double maxPauseDecay = 0.99;

} // namespace

void Liveness::didSend(framework::SteadyTime now, Milliseconds expected)
{
    if (isSilent(now))
        probeAt_ = Deadline::after(now, probeInterval);
    if (activityDeadline_)
        return;
    pauseStart_ = now + std::min(maxQueueTime, expected);
    activityDeadline_ = Deadline::after(pauseStart_, silenceTimeout);
}

bool Liveness::isPausing(framework::SteadyTime now) const
{
    const Milliseconds usual(static_cast<std::int64_t>(pauseFactor * maxPause_));
    return activityDeadline_ && now - pauseStart_ >= std::clamp(usual, minPause, silenceTimeout);
}

bool Liveness::mayProbe(framework::SteadyTime now) const
{
    if (probeAt_)
        return probeAt_->hasPassed(now);
    return !activityDeadline_ || now - activityDeadline_->at() >= probeInterval;
}

void Liveness::didSeeActivity(framework::SteadyTime now, std::size_t outstanding)
{
    if (activityDeadline_ && now > pauseStart_)
        maxPause_ = std::max(std::chrono::duration<double, std::milli>(now - pauseStart_).count(), maxPause_);
    maxPause_ *= maxPauseDecay;
    pauseStart_ = now;
    activityDeadline_.reset();
    probeAt_.reset();
    if (outstanding > 0)
        activityDeadline_ = Deadline::after(now, silenceTimeout);
}

} // namespace lagoon::forwarding
