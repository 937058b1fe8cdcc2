#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <optional>

namespace lagoon::framework {

/// Bounds the lines that are logged of one kind of event, so that those who cause the events can't fill the log. Used
/// on one thread at a time.
class LogLimiter {
public:
    explicit LogLimiter(std::size_t linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    {
    }

    /// Returns whether the event may be logged, with the number of events that were left out before it.
    std::optional<std::size_t> admit(SteadyTime now);

private:
    const std::size_t linesPerSecond_;
    Deadline secondEnds_;
    std::size_t lines_ = 0;
    std::size_t omitted_ = 0;
};

} // namespace lagoon::framework
