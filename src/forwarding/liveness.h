#pragma once

#include "framework/types/time.h"

#include <optional>

namespace lagoon::forwarding {

/// Detects an upstream that owes answers but has stopped sending. Any byte of an answer and any message of the
/// upstream's agent count as activity. Does no I/O and reads no clock.
///
/// Prevents requests from being sent to a VM that has stalled: its connections stay open and accept requests, but none
/// is answered. Those requests would wait until their deadlines, and the VM would process them when it resumes, long
/// after their callers have disconnected. An engine sends stream events many times a second, so its silence is detected
/// long before a deadline passes.
class Liveness {
public:
    /// `expected` is the time until the first event of the request that was sent.
    void didSend(framework::SteadyTime now, framework::Milliseconds expected);
    /// `outstanding` is the number of requests in flight at the upstream.
    void didSeeActivity(framework::SteadyTime now, std::size_t outstanding);
    /// The upstream has no outstanding requests any more.
    void didBecomeIdle() { activityDeadline_.reset(); }
    /// Its outstanding requests were abandoned because it is silent; it stays silent until there is activity.
    void didAbandon(framework::SteadyTime now) { activityDeadline_ = framework::Deadline(now); }
    bool isSilent(framework::SteadyTime now) const { return activityDeadline_ && activityDeadline_->hasPassed(now); }
    /// Whether the current pause exceeds the recent ones. Other upstreams are preferred meanwhile: the callers of a
    /// busy model would otherwise send a dozen requests to an engine before it counts as silent.
    bool isPausing(framework::SteadyTime now) const;
    /// Whether one request may be sent to a silent upstream to probe it. Without an agent, only an answer can show that
    /// the upstream is alive.
    bool mayProbe(framework::SteadyTime now) const;

private:
    /// The upstream counts as silent after this time; std::nullopt while no requests are outstanding.
    std::optional<framework::Deadline> activityDeadline_;
    /// When the current pause began: at the last activity, or when the first event was due.
    framework::SteadyTime pauseStart_ {};
    /// The longest pause between two activities while requests were outstanding, in milliseconds; decays with each
    /// activity.
    double maxPause_ = 0;
    std::optional<framework::Deadline> probeAt_;
};

} // namespace lagoon::forwarding
