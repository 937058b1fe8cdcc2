#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <string>

namespace lagoon::framework {

/// Returns a number from a generator that the system's random device seeds once for each thread; never 0.
std::uint64_t randomNumber();
/// Returns a number in [0, 1), for jitter.
double randomFraction();
Incarnation newIncarnation();
/// Returns 16 random hexadecimal digits. A process that lost the answer to its write recognises the write by them.
std::string newNonce();

} // namespace lagoon::framework
