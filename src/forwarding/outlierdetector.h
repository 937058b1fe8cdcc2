#pragma once

#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::forwarding {

/// Whether an upstream is to be passed by, from what became of requests there. Passing by needs no probes: after a
/// pause that doubles with each failure in a row the next request tries it again.
class OutlierDetector {
public:
    void didServe();
    void didFail(framework::SteadyTime now);
    bool isSuspect(framework::SteadyTime now) const { return !ejectedUntil_.hasPassed(now); }
    std::uint32_t failuresInARow() const { return failures_; }

private:
    std::uint32_t failures_ = 0;
    framework::Deadline ejectedUntil_;
};

} // namespace lagoon::forwarding
