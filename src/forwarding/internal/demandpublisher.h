#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/targetdemand.h"
#include "forwarding/demandplanner.h"
#include "forwarding/expectedretries.h"
#include "forwarding/internal/upstreamtable.h"
#include "forwarding/modeldemand.h"
#include "forwarding/types/requestfacts.h"
#include "policy/meanduration.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lagoon::forwarding {

/// Tracks which models this router's callers request, plans the resulting loads for each engine service and publishes
/// them to the engines' agents. Traffic thread only.
class DemandPublisher {
public:
    /// Called for each plan, with the plans of all engine services combined.
    using Publish = std::function<void(const LoadPlan&)>;
    /// Returns a service's requests that wait for a load, one entry for each.
    using ListWaitingRequests = std::function<std::vector<WaitingRequests>(const framework::ServiceName&)>;

    using EngineLimits = std::map<framework::Endpoint, ratelimits::RequestRate>;

    DemandPublisher(const UpstreamTable&, Publish, framework::SteadyTime startedAt);

    void setConfiguration(catalog::ConfigurationPointer configuration) { configuration_ = std::move(configuration); }
    /// Only models of the configuration count, since callers may name any number of others.
    void didArrive(const framework::ServiceName&, const RequestFacts&, framework::SteadyTime now);
    /// A request for a model was served within this time after it was sent.
    void didRun(framework::Milliseconds took) { runTime_.add(took); }
    /// The caller was refused with a Retry-After. The load stays requested until the caller's deadline; otherwise the
    /// caller would find the model not loaded again and be refused again.
    void expectRetry(const framework::ServiceName&, const WaitingRequests&, framework::Deadline callerDeadline);
    /// See `DemandPlanner::timeUntilLoaded`.
    std::optional<framework::Milliseconds> timeUntilLoaded(const framework::ServiceName&,
        const std::vector<EngineFacts>&, const WaitingRequests&, framework::SteadyTime now) const;
    /// Whether an engine has been chosen to load the model.
    bool hasLoader(const framework::ServiceName&, const framework::ModelName&) const;
    /// The number of models of which requests, or retries that are expected, are remembered.
    std::size_t trackedModels() const { return demand_.models() + expectedRetries_.models(); }
    /// `limits` are the rates of the engines that limit their requests.
    void plan(const catalog::Configuration&, const ListWaitingRequests&, EngineLimits limits,
        const policy::PolicySwitches&, framework::SteadyTime now);

private:
    using RequestedLoads = std::set<std::pair<framework::Endpoint, catalog::ModelTarget>>;

    bool isConfigured(const framework::ServiceName&, const framework::ModelName&) const;
    LoadPlan planFor(const catalog::Service&, const std::vector<WaitingRequests>& requests,
        const policy::PolicySwitches&, bool hasQuotas, framework::SteadyTime now);
    void forgetLoaded(const framework::ServiceName&, framework::SteadyTime now);
    std::vector<WaitingRequests> byTarget(
        const framework::ServiceName&, const std::vector<WaitingRequests>& requests) const;
    void logNewLoads(
        const framework::ServiceName&, const std::map<framework::Endpoint, catalog::DemandList>&, std::size_t agents);

    const UpstreamTable& upstreams_;
    Publish publish_;
    catalog::ConfigurationPointer configuration_;
    ModelDemand demand_;
    std::map<framework::ServiceName, DemandPlanner> planners_;
    EngineLimits limits_;
    ExpectedRetries expectedRetries_;
    policy::MeanDuration runTime_;
    /// The loads that are currently requested, by service.
    std::map<framework::ServiceName, RequestedLoads> requestedLoads_;
};

} // namespace lagoon::forwarding
