#pragma once

#include "catalog/types/targetdemand.h"
#include "forwarding/internal/upstreamtable.h"

#include <cstdint>
#include <memory>

namespace lagoon::forwarding {

/// What the time until the first event of a request tells of its engine's speed.
struct ReadingSample {
    /// nullptr if nothing is to be learned.
    std::shared_ptr<EngineSpeeds> speeds;
    catalog::MegaBytes weights { 0 };
    /// To be read before the first event.
    std::uint64_t tokens = 0;
};

/// Counts one request in the load figures of a server while it is in flight there.
class InFlightGuard {
public:
    InFlightGuard(UpstreamPointer, catalog::ModelTarget, std::uint32_t priority, std::uint64_t newTokens,
        ReadingSample = {}, framework::SteadyTime sentAt = {});
    ~InFlightGuard();
    InFlightGuard(const InFlightGuard&) = delete;
    InFlightGuard& operator=(const InFlightGuard&) = delete;

    /// The answer has begun, so the engine has processed the prompt.
    void didStart(framework::SteadyTime now);
    UpstreamRecord& upstream() { return *upstream_; }
    const UpstreamPointer& pointer() const { return upstream_; }

private:
    void noteStart();

    UpstreamPointer upstream_;
    catalog::ModelTarget target_;
    std::uint32_t priority_;
    std::uint64_t newTokens_;
    ReadingSample sample_;
    framework::SteadyTime sentAt_;
    bool isStarting_ = true;
};

} // namespace lagoon::forwarding
