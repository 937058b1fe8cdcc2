#pragma once

#include "framework/types/time.h"

#include <optional>

namespace lagoon::forwarding {

/// Whether an upstream that owes answers has fallen silent, by what it brings: any byte of an answer, or a word of its
/// agent. Without I/O or clock.
///
/// Guards against a VM that stands still: its connections stay open and take requests, none is answered, and those that
/// go on being sent there wait out their deadlines and are read when it goes on, long after their callers have left. An
/// engine brings events of its streams many times a second, so it is missed long before a deadline passes.
class Liveness {
public:
    /// `expected`: until the first event of what is sent.
    void didSend(framework::SteadyTime now, framework::Milliseconds expected);
    /// `outstanding`: requests that are under way there.
    void didSeeActivity(framework::SteadyTime now, std::size_t outstanding);
    /// It owes nothing any more.
    void didBecomeIdle() { activityDeadline_.reset(); }
    /// What it owed was given up since it is silent: it stays so until it is heard.
    void didAbandon(framework::SteadyTime now) { activityDeadline_ = framework::Deadline(now); }
    bool isSilent(framework::SteadyTime now) const { return activityDeadline_ && activityDeadline_->hasPassed(now); }
    /// Whether it pauses for longer than it has lately. Others are better meanwhile: a busy model's callers send a
    /// dozen requests to an engine before it counts as silent.
    bool isPausing(framework::SteadyTime now) const;
    /// Whether one request may find out if a silent upstream lives. Nothing else would, where no agent speaks for it.
    bool mayProbe(framework::SteadyTime now) const;

private:
    /// Silent from then on; nothing while it owes nothing.
    std::optional<framework::Deadline> activityDeadline_;
    /// Of its last sign, or when the first was due.
    framework::SteadyTime pauseStart_ {};
    /// Between two signs while it owed answers, in milliseconds; fades with each sign.
    double maxPause_ = 0;
    std::optional<framework::Deadline> probeAt_;
};

} // namespace lagoon::forwarding
