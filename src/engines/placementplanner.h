#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/targetdemand.h"
#include "catalog/types/upstream.h"
#include "engines/draintimeestimator.h"
#include "engines/types/enginereport.h"
#include "framework/types/time.h"
#include "policy/iloadorder.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::engines {

struct PlacementInput {
    const catalog::EngineProfile& profile;
    const EngineReport& report;
    const std::map<catalog::ModelTarget, catalog::TargetDemand>& demand;
    framework::SteadyTime now {};
};

struct PlacementDecision {
    /// The order to give now; std::nullopt if there is none.
    std::optional<Order> order;
    /// Loaded models that should get no new requests, as they are about to be unloaded.
    std::vector<framework::ModelName> draining;
    std::vector<catalog::EngineState::Expected> expected;
    /// Reason of the order, for the log.
    std::string reason;
};

/// Returns the number of requests that are in progress or waiting for the model or one of its adapters.
std::uint32_t usesOf(const std::map<catalog::ModelTarget, catalog::TargetDemand>&, const framework::ModelName&);

/// Decides which models and adapters one engine has loaded. Loads are given in this order: copies of models whose
/// engines are overloaded; models with waiting requests, by their number, the load time and the earliest deadline;
/// further copies of busy models; models that no engine has cached. Models with the fewest requests are evicted first,
/// among these the ones with the lowest retention value. Does no I/O and reads no clock.
class PlacementPlanner {
public:
    explicit PlacementPlanner(std::unique_ptr<policy::ILoadOrder>);

    PlacementDecision decide(const PlacementInput&);
    /// Called when the engine has accepted the order.
    void didOrder(const Order&, const PlacementInput&);
    /// Called when the engine has restarted and no order is in progress.
    void reset();

    /// The model that is being loaded; empty if there is none.
    framework::ModelName loading() const { return loading_; }
    bool loadsFromStore() const { return loadsFromStore_; }
    /// When the load should end; std::nullopt if none is in progress.
    std::optional<framework::Deadline> loadedBy() const
    {
        return loading_.value().empty() ? std::nullopt : std::optional(loadedBy_);
    }

private:
    struct Use {
        framework::SteadyTime lastUsed {};
        framework::SteadyTime loadedSince {};
    };

    void noteUses(const PlacementInput&);
    std::optional<Order> adapterOrder(const PlacementInput&) const;
    std::optional<catalog::ModelTarget> idleAdapter(const PlacementInput&) const;
    /// Models that should be loaded, most urgent first.
    std::vector<catalog::TargetDemand> missingModels(const PlacementInput&) const;
    std::vector<catalog::TargetDemand> byValue(const PlacementInput&, const std::vector<catalog::TargetDemand>&) const;
    std::optional<std::vector<framework::ModelName>> victimsFor(
        const PlacementInput&, const catalog::TargetDemand&) const;
    bool mayEvict(const PlacementInput&, const framework::ModelName&, const catalog::TargetDemand& requested) const;
    double retentionValue(const PlacementInput&, const framework::ModelName&) const;
    framework::Milliseconds untilFree(const PlacementInput&) const;
    /// `plannedTime` is the expected time until the loads planned before this one have ended; the time of this load is
    /// added to it.
    void planModel(
        const PlacementInput&, const catalog::TargetDemand&, PlacementDecision&, framework::Milliseconds& plannedTime);

    std::unique_ptr<policy::ILoadOrder> loadOrder_;
    std::map<catalog::ModelTarget, Use> uses_;
    /// Since when requests have been waiting for a model.
    std::map<framework::ModelName, framework::SteadyTime> waitingSince_;
    framework::ModelName loading_;
    /// Model that is being unloaded; empty if there is none. Prevents requests from being sent to it: until the unload
    /// has ended the engine still lists the model, but refuses its requests.
    framework::ModelName unloading_;
    bool loadsFromStore_ = false;
    framework::Deadline loadedBy_;
    DrainTimeEstimator drains_;
};

} // namespace lagoon::engines
