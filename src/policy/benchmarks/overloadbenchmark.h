#pragma once

#include <cstdint>

namespace lagoon::policy::benchmarks {

/// Prints a table for warm replicas at 0.5 to 4 times their capacity, and with one slow replica among fast ones.
void printOverload(std::uint64_t seed);

} // namespace lagoon::policy::benchmarks
