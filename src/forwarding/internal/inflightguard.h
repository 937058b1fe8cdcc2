#pragma once

#include "catalog/types/targetdemand.h"
#include "forwarding/internal/upstreamtable.h"

#include <cstdint>

namespace lagoon::forwarding {

/// Counts one request in the load figures of a server while it is in flight there.
class InFlightGuard {
public:
    InFlightGuard(UpstreamPointer, catalog::ModelTarget, std::uint32_t priority, std::uint64_t newTokens);
    ~InFlightGuard();
    InFlightGuard(const InFlightGuard&) = delete;
    InFlightGuard& operator=(const InFlightGuard&) = delete;

    /// The answer has begun, so the engine has processed the prompt.
    void didStart();
    UpstreamRecord& upstream() { return *upstream_; }
    const UpstreamPointer& pointer() const { return upstream_; }

private:
    UpstreamPointer upstream_;
    catalog::ModelTarget target_;
    std::uint32_t priority_;
    std::uint64_t newTokens_;
    bool isStarting_ = true;
};

} // namespace lagoon::forwarding
