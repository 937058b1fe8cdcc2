#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <string>

namespace lagoon::framework {

/// From the system's random device; never 0.
std::uint64_t randomNumber();
/// In [0, 1), for jitter.
double randomFraction();
Incarnation newIncarnation();
/// 16 hexadecimal digits, to recognise one's own write after its answer was lost.
std::string newNonce();

} // namespace lagoon::framework
