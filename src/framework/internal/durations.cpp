#include "framework/durations.h"

#include <cmath>

namespace lagoon::framework {

Milliseconds boundedMilliseconds(double milliseconds)
{
    // Not a number compares as false.
    if (!(milliseconds > 0))
        return Milliseconds(0);
    if (milliseconds >= static_cast<double>(maxDuration.count()))
        return maxDuration;
    return Milliseconds(std::llround(milliseconds));
}

} // namespace lagoon::framework
