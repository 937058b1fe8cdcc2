#include "framework/iclock.h"

namespace lagoon::framework {

SteadyTime SystemClock::now() const { return std::chrono::steady_clock::now(); }

} // namespace lagoon::framework
