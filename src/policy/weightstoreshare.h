#pragma once

#include "bundle/types/bundle.h"
#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::policy {

/// One home's part of the weight store's limits, which hold over all routers of all sites. Nobody hands the parts out:
/// each takes (limit / live routers), so it goes on while the platform is down, with the last known number of routers.
/// A soft limit: homes that count differently for a moment make the store slower, or have it refuse, and no more.
///
/// Borrowing lets a load that has waited half a second take a place beyond the share, up to the whole limit, unless the
/// store has refused lately. Measured, it gains nothing on ordinary days, and in a storm of cold models the homes all
/// borrow, share the store's bandwidth and make every load late: hence it is off. Only loads of remote checkpoints are
/// counted here.
class WeightStoreShare {
public:
    explicit WeightStoreShare(const bundle::PolicyParameters&, bool mayBorrow = false);

    /// From a new bundle or VM list; all sites' routers count.
    void setLimits(const bundle::PolicyParameters&);
    /// `rank` is this router's position among the live ones by name, from 0: those in front take the places that are
    /// left over by the division.
    void setLiveRouters(std::uint32_t count, std::uint32_t rank);

    /// Whether a load that has waited since then may start.
    bool mayStart(framework::SteadyTime waitingSince, framework::SteadyTime now) const;
    void start(framework::SteadyTime now);
    /// Each started load ends once, whether loaded or not.
    void end();
    /// The store refused a load for its rate: nothing is borrowed for a while.
    void noteRefusal(framework::SteadyTime now);

    std::uint32_t running() const { return running_; }
    /// At least 1, or a router among many would never load.
    std::uint32_t places() const;
    double loadsPerSecond() const;

private:
    double tokens(framework::SteadyTime now) const;

    bundle::PolicyParameters numbers_;
    bool mayBorrow_;
    std::uint32_t routers_ = 1;
    std::uint32_t rank_ = 0;
    std::uint32_t running_ = 0;
    /// Loads that may start at once, as of `countedAt_`; below 0 after borrowing.
    double tokens_ = 1;
    framework::SteadyTime countedAt_ {};
    framework::Deadline noBorrowingUntil_;
};

} // namespace lagoon::policy
