#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "policy/iloadorder.h"
#include "policy/loadforecast.h"
#include "policy/loadtimeestimator.h"
#include "policy/weightstoreshare.h"
#include "router/types/wake.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lagoon::router {

/// The waiting requests that need a load.
struct LoadDemand {
    framework::Deadline earliest;
    std::uint32_t waiters = 0;
    /// Highest priority among them.
    std::uint8_t priority = 0;
};

/// A load that a home has decided on and that the gate queues.
struct GatedLoad {
    SiteTarget where;
    policy::CheckpointLocation checkpoint = policy::CheckpointLocation::Remote;
    framework::MebiBytes memory;
    LoadDemand demand;
};

/// Starts this home's loads in the order given by the policy, limited to its share of the weight store's throughput,
/// and forecasts their duration. Loads of checkpoints that the upstream has cached start at once. Control thread only.
class LoadGate {
public:
    LoadGate(framework::IControlExecutor&, const framework::IClock&, framework::Metrics&);

    /// Calls `start` at once, or when the load reaches the front of the queue.
    void enqueue(const GatedLoad&, std::function<void()> start);
    /// Updates the demand for a queued or running load. Has no effect if there is no such load.
    void setDemand(const SiteTarget&, const LoadDemand&);
    /// Removes a load that has ended. Records its duration if the target is loaded.
    void didEnd(const SiteTarget&, bool isLoaded);
    /// Forecasts the end of a queued or running load. Returns an empty forecast if there is no such load.
    policy::LoadForecast forecast(const SiteTarget&) const;

    void setPolicy(const bundle::PolicyParameters&, std::unique_ptr<policy::ILoadOrder>);
    /// Sets the number of homes at all sites. `rank` is this router's position among them, sorted by name and starting
    /// at 0, or `count` if this router is no home.
    void setHomes(std::uint32_t count, std::uint32_t rank);

private:
    struct Entry {
        GatedLoad load;
        std::function<void()> start;
        /// When the load was enqueued.
        framework::SteadyTime since {};
        bool isRunning = false;
        framework::SteadyTime startedAt {};
    };

    void startDue();
    void start(Entry&);
    std::optional<SiteTarget> nextLoad(const std::set<SiteTarget>& excluded) const;
    std::uint32_t loadsAhead(const SiteTarget&) const;
    policy::PendingLoad pendingLoad(const Entry&) const;
    policy::LoadTimeEstimate estimate(const GatedLoad&) const;
    static bool usesStore(const GatedLoad&);

    framework::IControlExecutor& control_;
    const framework::IClock& clock_;
    framework::Metrics& metrics_;
    policy::LoadTimeEstimator estimator_;
    policy::WeightStoreShare share_;
    std::unique_ptr<policy::ILoadOrder> order_;
    std::map<SiteTarget, Entry> entries_;
    std::unique_ptr<framework::Timer> timer_;
};

} // namespace lagoon::router
