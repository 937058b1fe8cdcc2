#pragma once

#include "framework/types/time.h"

namespace lagoon::framework {

/// The longest duration that is read from outside. Times to which some of these are added stay within the clock's
/// range.
inline constexpr Milliseconds maxDuration { 365LL * 24 * 3600 * 1000 };

/// Rounds to milliseconds and bounds the result by 0 and `maxDuration`. The direct conversion of a number that is out
/// of range is undefined, and differs between processors.
Milliseconds boundedMilliseconds(double);

} // namespace lagoon::framework
