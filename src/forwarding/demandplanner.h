#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/targetdemand.h"
#include "catalog/types/upstream.h"
#include "forwarding/replicaindex.h"
#include "framework/types/time.h"
#include "policy/iloadorder.h"
#include "policy/policyswitches.h"
#include "policy/storeconcurrencyestimator.h"
#include "policy/storequeue.h"
#include "ratelimits/types/serverlimit.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoon::forwarding {

/// The last reported state of an engine whose agent can be asked to load models.
struct EngineFacts {
    framework::Endpoint engine;
    const catalog::EngineState* state = nullptr;
    framework::SteadyTime stateAt {};
    /// This router's requests in flight at the engine, by target.
    std::map<catalog::ModelTarget, std::uint32_t> inFlight;
};

/// Requests that wait for a model or adapter to be loaded.
struct WaitingRequests {
    catalog::ModelTarget target;
    /// The number of requests.
    std::uint32_t waiting = 0;
    /// The earliest time by which one of them needs its first event.
    framework::Deadline earliest;
    framework::SteadyTime since {};
    std::uint8_t priority = 0;
    /// For an adapter: the engine that is to load it, which has the model loaded. Empty for a model.
    framework::Endpoint at;
};

struct PlannerInput {
    const catalog::EngineProfile& profile;
    /// Covers all engines of the service.
    const ReplicaIndex& replicas;
    /// The engines that this router subscribes to and has received a state from.
    std::vector<EngineFacts> engines;
    std::vector<WaitingRequests> waiting;
    /// This router's work by model, as a fraction of one engine's time.
    std::map<framework::ModelName, double> work;
    /// Whether the absence of requests for a model means that it is not in demand (see `ModelDemand::isKnown`).
    bool isDemandKnown = false;
    framework::SteadyTime now {};
    /// The recent mean time that a request takes at an engine.
    framework::Milliseconds runTime { 0 };
    policy::PolicySwitches policy {};
    /// Engines whose agents could not be reached recently.
    std::set<framework::Endpoint> unreachable {};
    /// Requests per second that engines take at most; those that aren't named are not limited.
    std::map<framework::Endpoint, ratelimits::RequestRate> limits {};
    /// The fraction of a second of one engine's time that a request for the model takes.
    std::map<framework::ModelName, double> workPerRequest {};
    /// Whether customers have quotas that agents have to keep.
    bool hasQuotas = false;
};

/// How many engines are candidates for loading one model.
struct CandidateCounts {
    /// The maximum number of candidates among the engines that have the model's weights cached.
    std::size_t cached = 0;
    /// The maximum number of candidates from the front of the model's rendezvous order.
    std::size_t preferred = 0;
};

struct LoadPlan {
    /// The demand to publish to the agents of the engines that have reported a state.
    std::map<framework::Endpoint, catalog::DemandList> demand;
    /// The engines to whose agents this router is to subscribe.
    std::set<framework::Endpoint> subscriptions;
    /// The engines whose agents pass on what routers tell each other. All routers choose the same ones, as far as they
    /// can reach them.
    std::set<framework::Endpoint> relays;
    /// The engines whose agents keep to which software streams were sent. All routers choose the same ones.
    std::set<framework::Endpoint> keepers {};
    /// The engines whose agents keep the customers' quotas. All routers choose the same ones.
    std::set<framework::Endpoint> quotaKeepers {};
};

/// Decides which engines' agents this router subscribes to, and which engine is asked to load which model. All routers
/// choose among the same candidates for a model, so they mostly choose the same engine without communicating with each
/// other. When they differ for a moment, a model is loaded twice: this costs a load but breaks no promise to a caller.
///
/// A router subscribes to the engines that serve the models that its callers request, and to the candidates for the
/// models that are to be loaded. Its cost therefore grows with its own requests, not with the number of engines.
class DemandPlanner {
public:
    DemandPlanner();

    LoadPlan plan(const PlannerInput&);

    /// Returns the time until the awaited model is loaded on an engine, as agents report it or by its position among
    /// the loads that wait for the weight store. Returns std::nullopt if neither is known, and always for an adapter:
    /// adapters load within milliseconds, and agents report load times of models only.
    std::optional<framework::Milliseconds> timeUntilLoaded(
        const std::vector<EngineFacts>&, const WaitingRequests&, framework::SteadyTime now) const;
    /// Whether an engine has been chosen to load the model.
    bool hasLoader(const framework::ModelName& model) const { return choices_.contains(model); }
    /// The number of placements that the last plan evaluated; lets tests bound the cost of a plan.
    std::size_t placementsEvaluated() const { return placementsEvaluated_; }

private:
    struct Choice {
        framework::Endpoint engine;
        framework::SteadyTime since {};
    };

    void collectFleetWork(const PlannerInput&);
    const EngineFacts* factsOf(const framework::Endpoint&) const;
    std::vector<framework::Endpoint> candidatesFor(
        const PlannerInput&, const framework::ModelName&, const CandidateCounts& limit);
    bool isEligible(const PlannerInput&, const framework::ModelName&, const framework::Endpoint&) const;
    std::set<framework::Endpoint> subscriptions(const PlannerInput&);
    static std::set<framework::Endpoint> relays(const PlannerInput&);
    static std::set<framework::Endpoint> keepers(const PlannerInput&);
    static std::set<framework::Endpoint> quotaKeepers(const PlannerInput&);
    static std::set<framework::Endpoint> firstInCommonOrder(const PlannerInput&, std::size_t limit);
    static std::uint32_t usableReplicas(const PlannerInput&, const framework::ModelName&);
    static std::uint32_t replicasOf(const PlannerInput&, const framework::ModelName&);
    void observeStoreLoads(const PlannerInput&);
    static bool needsStore(const EngineFacts&, const catalog::ModelProfile&);
    bool takeStoreSlot(const PlannerInput&, const framework::Endpoint& engine, const catalog::ModelProfile&);
    framework::Milliseconds placementCost(
        const PlannerInput&, const EngineFacts&, const catalog::ModelProfile&, bool hasWaitingRequests);
    std::vector<framework::Endpoint> cheapestFor(const PlannerInput&, const catalog::ModelProfile&,
        const std::vector<framework::Endpoint>& candidates, std::size_t limit,
        const std::set<framework::Endpoint>& askedBefore);
    void recordRefusals(const PlannerInput&);
    bool hasRefused(const framework::ModelName&, const framework::Endpoint& engine) const;
    void planLoaded(const PlannerInput&);
    void planWaiting(const PlannerInput&);
    std::vector<WaitingRequests> inLoadOrder(const PlannerInput&) const;
    void planWaitingForModel(const PlannerInput&, const WaitingRequests&, const catalog::TargetDemand&);
    void planCopies(const PlannerInput&);
    void planPrefetch(const PlannerInput&);
    static bool isCachedEnough(const PlannerInput&, const catalog::ModelProfile&);
    const std::vector<framework::ModelName>& uncached(const PlannerInput&);
    void add(const PlannerInput&, const framework::Endpoint&, catalog::TargetDemand);
    const framework::Endpoint* chooseLoader(const PlannerInput&, const WaitingRequests&);
    static std::uint32_t rankOf(const PlannerInput&, const framework::ModelName&, const framework::Endpoint&);

    std::map<framework::Endpoint, catalog::DemandList> lists_;
    std::map<framework::ModelName, Choice> choices_;
    /// The engines that the last plan asked for further copies of a model.
    std::map<framework::ModelName, std::set<framework::Endpoint>> copyLoaders_;
    std::unique_ptr<policy::ILoadOrder> loadOrder_;
    policy::StoreConcurrencyEstimator storeConcurrency_;
    /// Loads from the weight store that are in progress or requested by this plan.
    policy::StoreQueue storeQueue_ { 1, {} };
    /// Models whose loads wait for a slot of the weight store, and when they are expected to be loaded.
    std::map<framework::ModelName, framework::Deadline> deferredLoads_;
    /// The work of each loaded model over all routers, as a fraction of one engine's time.
    std::map<framework::ModelName, double> fleetWork_;
    /// When an agent last reported that it can't place a model.
    std::map<std::pair<framework::ModelName, framework::Endpoint>, framework::SteadyTime> refusals_;
    /// Points into the input of the current plan.
    std::unordered_map<framework::Endpoint, const EngineFacts*> facts_;
    /// The candidate engines of the models to be placed, and when each was last a candidate.
    std::map<framework::Endpoint, framework::SteadyTime> candidates_;
    std::size_t placementsEvaluated_ = 0;
    /// Models that too few engines have cached, as of `uncachedAt_`.
    std::vector<framework::ModelName> uncached_;
    std::optional<framework::SteadyTime> uncachedAt_;
};

} // namespace lagoon::forwarding
