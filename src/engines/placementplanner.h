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
    /// The next order, if there is one to give now.
    std::optional<Order> order;
    /// Held models that should get no new requests, as they are about to make way.
    std::vector<framework::ModelName> draining;
    std::vector<catalog::EngineState::Expected> expected;
    /// For the log.
    std::string reason;
};

/// Requests under way for the model, with or without an adapter, and those that wait for it or one of its adapters.
std::uint32_t usesOf(const std::map<catalog::ModelTarget, catalog::TargetDemand>&, const framework::ModelName&);

/// Decides which models and adapters one engine holds. Copies of models that their engines can't serve come first; then
/// what is waited for, by how many wait, how long the load takes and when the nearest deadline is; then further copies
/// of busy models; then models that no engine has at hand. What makes way is what has the fewest requests, and among
/// equals what is least missed. Without I/O or clock.
class PlacementPlanner {
public:
    explicit PlacementPlanner(std::unique_ptr<policy::ILoadOrder>);

    PlacementDecision decide(const PlacementInput&);
    /// The order was accepted.
    void didOrder(const Order&, const PlacementInput&);
    /// The engine has started anew: nothing is under way.
    void reset();

    /// What is being loaded, while the engine is busy.
    framework::ModelName loading() const { return loading_; }
    bool loadsFromStore() const { return loadsFromStore_; }
    /// When that should end; nothing if no load is under way.
    std::optional<framework::Deadline> loadedBy() const
    {
        return loading_.value().empty() ? std::nullopt : std::optional(loadedBy_);
    }

private:
    struct Use {
        framework::SteadyTime lastUsed {};
        framework::SteadyTime since {};
    };

    void noteUses(const PlacementInput&);
    std::optional<Order> adapterOrder(const PlacementInput&) const;
    std::optional<catalog::ModelTarget> idleAdapter(const PlacementInput&) const;
    /// Models to load, the first first.
    std::vector<catalog::TargetDemand> missingModels(const PlacementInput&) const;
    std::vector<catalog::TargetDemand> byValue(const PlacementInput&, const std::vector<catalog::TargetDemand>&) const;
    std::optional<std::vector<framework::ModelName>> victimsFor(
        const PlacementInput&, const catalog::TargetDemand&) const;
    bool mayEvict(const PlacementInput&, const framework::ModelName&, const catalog::TargetDemand& loaded) const;
    double retentionValue(const PlacementInput&, const framework::ModelName&) const;
    framework::Milliseconds untilFree(const PlacementInput&) const;
    void planModel(
        const PlacementInput&, const catalog::TargetDemand&, PlacementDecision&, framework::Milliseconds& soFar);

    std::unique_ptr<policy::ILoadOrder> loadOrder_;
    std::map<catalog::ModelTarget, Use> uses_;
    /// When someone began to wait for it.
    std::map<framework::ModelName, framework::SteadyTime> waitingSince_;
    framework::ModelName loading_;
    /// Guards against requests for a model that the engine is dropping: while that order is under way the engine still
    /// lists the model, and refuses whatever comes for it.
    framework::ModelName unloading_;
    bool loadsFromStore_ = false;
    framework::Deadline loadedBy_;
    DrainTimeEstimator drains_;
};

} // namespace lagoon::engines
