#pragma once

#include "framework/types/time.h"

namespace lagoon::framework {

/// The time that the platform usually leaves a process between the termination signal and killing it.
inline constexpr Milliseconds defaultGrace { 30000 };
/// A shorter grace period leaves no time to deliver any answer.
inline constexpr Milliseconds minGrace { 500 };
/// Longer grace periods are refused, since they probably come from a wrong unit.
inline constexpr Milliseconds maxGrace { 3600000 };

/// The deadlines of a process's shutdown. They ensure that everyone who waits for the process has an answer before it
/// is killed.
struct ShutdownDeadlines {
    /// The process keeps running at least until then, even if it is idle: callers and balancers that haven't noticed
    /// its shutdown yet get a refusal instead of a closed connection.
    Deadline noticedBy;
    /// Requests that no upstream has received by then are refused as not run. This is half of the serving time: the
    /// other half is left for their callers to be served elsewhere, and for requests that were started late to finish.
    Deadline startBy;
    /// Requests that still run then are abandoned: their callers are told what is known about the execution.
    Deadline answerBy;
    /// The process exits then, whatever work is left.
    Deadline exitBy;

    /// `grace` is the time from the termination signal at `signalledAt` until the process is killed.
    static ShutdownDeadlines after(SteadyTime signalledAt, Milliseconds grace);
};

} // namespace lagoon::framework
