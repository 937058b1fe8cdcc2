#pragma once

#include <chrono>

namespace lagoon::framework {

/// All deadlines are times of this clock. It never jumps, and it goes on while a process is stopped, so that a resumed
/// process sees which of its deadlines have passed.
using SteadyTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// The point in time by which something must be finished. Deadlines are stored instead of durations, as a duration
/// doesn't tell when it began.
class Deadline {
public:
    Deadline() = default;
    explicit Deadline(SteadyTime at)
        : at_(at)
    {
    }
    static Deadline after(SteadyTime now, Milliseconds duration) { return Deadline(now + duration); }

    SteadyTime at() const { return at_; }
    bool hasPassed(SteadyTime now) const { return now >= at_; }
    /// Never negative, so that it can be sent over the wire as the time left from receipt.
    Milliseconds remaining(SteadyTime now) const
    {
        return hasPassed(now) ? Milliseconds(0) : std::chrono::duration_cast<Milliseconds>(at_ - now);
    }

    friend auto operator<=>(const Deadline&, const Deadline&) = default;

private:
    SteadyTime at_ {};
};

} // namespace lagoon::framework
