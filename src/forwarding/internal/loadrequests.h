#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/targetdemand.h"
#include "forwarding/internal/upstreamtable.h"
#include "forwarding/modeldemand.h"
#include "forwarding/returningcallers.h"
#include "forwarding/types/requestfacts.h"
#include "forwarding/wantedplanner.h"
#include "policy/meanduration.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lagoon::forwarding {

/// Which models this router's callers ask for, and what its engines' agents are asked for because of it. Traffic thread
/// only.
class LoadRequests {
public:
    /// Called at each plan, with the plans of all engine services together.
    using Publish = std::function<void(const LoadPlan&)>;
    /// A service's requests that wait for a load, one entry each.
    using Waiting = std::function<std::vector<WaitingFor>(const framework::ServiceName&)>;

    LoadRequests(const UpstreamTable&, Publish, framework::SteadyTime startedAt);

    void didArrive(const framework::ServiceName&, const RequestFacts&, framework::SteadyTime now);
    /// A request for a model was served within this time from its sending.
    void didRun(framework::Milliseconds took) { runTime_.add(took); }
    /// The caller was told when to come back: until it leaves for good the load goes on being asked for, or the caller
    /// would find the same and be refused again.
    void keepFor(const framework::ServiceName&, const WaitingFor&, framework::Deadline leavesBy);
    /// As `WantedPlanner::soonest`.
    std::optional<framework::Milliseconds> soonest(const framework::ServiceName&, const std::vector<EngineFacts>&,
        const WaitingFor&, framework::SteadyTime now) const;
    /// Whether an engine has been found to load the model.
    bool hasLoader(const framework::ServiceName&, const framework::ModelName&) const;
    void plan(const catalog::Configuration&, const Waiting&, const policy::PolicySwitches&, framework::SteadyTime now);

private:
    using Asked = std::set<std::pair<framework::Endpoint, catalog::ModelTarget>>;

    LoadPlan planFor(const catalog::Service&, const std::vector<WaitingFor>& requests, const policy::PolicySwitches&,
        framework::SteadyTime now);
    void forgetServed(const framework::ServiceName&, framework::SteadyTime now);
    std::vector<WaitingFor> byTarget(const framework::ServiceName&, const std::vector<WaitingFor>& requests) const;
    void logNew(
        const framework::ServiceName&, const std::map<framework::Endpoint, catalog::DemandList>&, std::size_t agents);

    const UpstreamTable& upstreams_;
    Publish publish_;
    ModelDemand demand_;
    std::map<framework::ServiceName, WantedPlanner> planners_;
    ReturningCallers comingBack_;
    policy::MeanDuration runTime_;
    /// The loads that are asked for now.
    std::map<framework::ServiceName, Asked> asked_;
};

} // namespace lagoon::forwarding
