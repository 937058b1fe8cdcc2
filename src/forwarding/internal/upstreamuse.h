#pragma once

#include "catalog/types/targetdemand.h"
#include "forwarding/internal/upstreamtable.h"

#include <cstdint>

namespace lagoon::forwarding {

/// One request's part in the counts of a server, for as long as it is under way there.
class UpstreamUse {
public:
    UpstreamUse(UpstreamPointer, catalog::ModelTarget, std::uint32_t priority, std::uint64_t newTokens);
    ~UpstreamUse();
    UpstreamUse(const UpstreamUse&) = delete;
    UpstreamUse& operator=(const UpstreamUse&) = delete;

    /// The answer has begun: the prompt has been read.
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
