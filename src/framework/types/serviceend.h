#pragma once

#include "framework/types/time.h"

namespace lagoon::framework {

/// What the platform usually leaves a process that it has told to end before it ends it by force.
inline constexpr Milliseconds defaultGrace { 30000 };
/// Below the first, no answer could be told in time; the second is only there to find a wrong unit.
inline constexpr Milliseconds minGrace { 500 };
inline constexpr Milliseconds maxGrace { 3600000 };

/// Until when a process that was told to end does what, so that everyone who waits for it has an answer before it is
/// ended by force. Pure.
struct ServiceEnd {
    /// The process stays that long at least, also when it is idle: those who don't know yet that it ends get a refusal
    /// in place of a closed connection.
    Deadline noticedBy;
    /// What no upstream has by then is refused as not run. Half of the time: the other half is for its caller to be
    /// served elsewhere, and for what was started late to end.
    Deadline startBy;
    /// What still runs is given up, and who waits for it is told what is known.
    Deadline answerBy;
    /// The process ends, whatever is left.
    Deadline exitBy;

    /// `grace` is the time from `signalledAt` until the process is ended by force.
    static ServiceEnd after(SteadyTime signalledAt, Milliseconds grace);
};

} // namespace lagoon::framework
