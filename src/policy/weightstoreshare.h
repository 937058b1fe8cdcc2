#pragma once

#include "bundle/types/bundle.h"
#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::policy {

/// One home router's share of the weight store's limits, which hold for the routers of all sites together. The shares
/// need no coordinator: each home takes (limit / live routers), so that loads continue with the last known number of
/// routers while the platform is down. The limit is soft: homes that temporarily count different numbers of routers
/// only make the store slower or have it refuse loads.
///
/// Borrowing lets a load that has waited for half a second take a slot beyond the share, up to the whole limit, unless
/// the store has refused a load lately. It is off by default: it gains nothing on ordinary days, and when many cold
/// models are needed at once, all homes borrow, share the store's bandwidth and make every load late. Only loads of
/// remote checkpoints count towards the share.
class WeightStoreShare {
public:
    explicit WeightStoreShare(const bundle::PolicyParameters&, bool mayBorrow = false);

    /// Sets the limits from a new bundle.
    void setLimits(const bundle::PolicyParameters&);
    /// Sets the number of live routers of all sites, from a new VM list. `rank` is this router's position among them by
    /// name, from 0: the routers with the lowest ranks take the slots that remain after the division.
    void setLiveRouters(std::uint32_t count, std::uint32_t rank);

    /// Whether a load that has waited since `waitingSince` may start.
    bool mayStart(framework::SteadyTime waitingSince, framework::SteadyTime now) const;
    void start(framework::SteadyTime now);
    /// Has to be called once for each started load, whether it succeeded or failed.
    void end();
    /// Records that the store refused a load because of its rate limit. Borrowing pauses for a while then.
    void recordRefusal(framework::SteadyTime now);

    std::uint32_t running() const { return running_; }
    /// Number of loads that may run at once; at least 1, since otherwise a router among many could never load.
    std::uint32_t slots() const;
    double loadsPerSecond() const;

private:
    double tokens(framework::SteadyTime now) const;

    bundle::PolicyParameters parameters_;
    bool mayBorrow_;
    std::uint32_t routers_ = 1;
    std::uint32_t rank_ = 0;
    std::uint32_t running_ = 0;
    /// Number of loads that may start at once, as of `tokensUpdatedAt_`; below 0 after borrowing.
    double tokens_ = 1;
    framework::SteadyTime tokensUpdatedAt_ {};
    framework::Deadline borrowingPausedUntil_;
};

} // namespace lagoon::policy
