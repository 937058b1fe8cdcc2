#include "framework/loglimiter.h"

#include <utility>

namespace lagoon::framework {

std::optional<std::size_t> LogLimiter::admit(SteadyTime now)
{
    if (secondEnds_.hasPassed(now)) {
        secondEnds_ = Deadline::after(now, Milliseconds(1000));
        lines_ = 0;
    }
    if (lines_ >= linesPerSecond_) {
        ++omitted_;
        return std::nullopt;
    }
    ++lines_;
    return std::exchange(omitted_, 0);
}

} // namespace lagoon::framework
