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

/// Those who wait for a load.
struct LoadDemand {
    framework::Deadline earliest;
    std::uint32_t waiters = 0;
    /// The highest.
    std::uint8_t priority = 0;
};

/// A load that a home has decided on.
struct GatedLoad {
    SiteTarget where;
    policy::CheckpointPlace checkpoint = policy::CheckpointPlace::Remote;
    framework::MebiBytes memory;
    LoadDemand demand;
};

/// Starts this home's loads in the policy's order, no faster than its share of the weight store, and knows how long
/// they take. Loads of checkpoints that the upstream already has start at once. Control thread only.
class LoadGate {
public:
    LoadGate(framework::IControlExecutor&, const framework::IClock&, framework::Metrics&);

    /// Calls `start` at once or when the load's turn has come.
    void enqueue(const GatedLoad&, std::function<void()> start);
    /// Others wait for it by now; nothing if it isn't here.
    void setDemand(const SiteTarget&, const LoadDemand&);
    /// A started load has ended.
    void ended(const SiteTarget&, bool isLoaded);
    /// Of a load that waits or runs here.
    policy::LoadForecast forecast(const SiteTarget&) const;

    void setPolicy(const bundle::PolicyParameters&, std::unique_ptr<policy::ILoadOrder>);
    /// Of all sites; `rank` is this router's position among them by name, from 0, or `count` if it is none of them.
    void setHomes(std::uint32_t count, std::uint32_t rank);

private:
    struct Entry {
        GatedLoad load;
        std::function<void()> start;
        framework::SteadyTime since {};
        bool isRunning = false;
        framework::SteadyTime startedAt {};
    };

    void startDue();
    void start(Entry&);
    std::optional<SiteTarget> nextLoad(const std::set<SiteTarget>& passed) const;
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
