#pragma once

#include <chrono>

namespace lagoon::framework {

/// All deadlines are points of this clock: it never jumps, and a stopped process finds its deadlines passed.
using SteadyTime = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// The point in time by which something must be over. Stored in place of durations, which lose their start.
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
    /// Never negative, so that it can go onto the wire as "this long from receipt".
    Milliseconds remaining(SteadyTime now) const
    {
        return hasPassed(now) ? Milliseconds(0) : std::chrono::duration_cast<Milliseconds>(at_ - now);
    }

    friend auto operator<=>(const Deadline&, const Deadline&) = default;

private:
    SteadyTime at_ {};
};

} // namespace lagoon::framework
