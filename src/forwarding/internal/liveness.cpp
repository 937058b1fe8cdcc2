#include "forwarding/liveness.h"

#include <algorithm>

namespace lagoon::forwarding {

namespace {

using framework::Deadline;
using framework::Milliseconds;

/// Several times the longest pause between the stream events of a healthy engine.
constexpr Milliseconds silenceTimeout { 400 };
/// Upper bound for the expected queueing time, however long the engine's queue is estimated to be.
constexpr Milliseconds maxQueueTime { 1100 };
/// Probes are rare because each may be one more request that is processed after its caller has disconnected.
constexpr Milliseconds probeInterval { 5000 };

/// A healthy engine pauses for as long as it takes to process one chunk of a prompt. Pauses of up to a few times the
/// longest recent one are therefore normal.
constexpr double pauseFactor = 2.5;
constexpr Milliseconds minPause { 100 };
/// A pause is forgotten within about two hundred activities, which a busy engine produces in a second.
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
