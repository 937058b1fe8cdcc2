#pragma once

#include <cstdint>

namespace lagoon::policy::benchmarks {

/// Prints tables of warm replicas at 0.5 to 4 times their capacity and with a slow one among fast ones.
void printOverload(std::uint64_t seed);

} // namespace lagoon::policy::benchmarks
