#pragma once

#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::forwarding {

/// Excludes an upstream from selection after failed requests. It needs no probes: after a pause that doubles with each
/// consecutive failure, the next request tries the upstream again.
class OutlierDetector {
public:
    void didServe();
    void didFail(framework::SteadyTime now);
    bool isSuspect(framework::SteadyTime now) const { return !ejectedUntil_.hasPassed(now); }
    std::uint32_t consecutiveFailures() const { return failures_; }

private:
    std::uint32_t failures_ = 0;
    framework::Deadline ejectedUntil_;
};

} // namespace lagoon::forwarding
