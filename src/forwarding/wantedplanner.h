#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/targetdemand.h"
#include "catalog/types/upstream.h"
#include "forwarding/replicaindex.h"
#include "framework/types/time.h"
#include "policy/iloadorder.h"
#include "policy/policyswitches.h"
#include "policy/storeplaces.h"
#include "policy/storequeue.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoon::forwarding {

/// An engine whose agent can be asked to load.
struct EngineFacts {
    framework::Endpoint engine;
    const catalog::EngineState* state = nullptr;
    framework::SteadyTime stateAt {};
    /// This router's requests under way there.
    std::map<catalog::ModelTarget, std::uint32_t> inFlight;
};

/// Requests that wait for a model or adapter.
struct WaitingFor {
    catalog::ModelTarget target;
    std::uint32_t waiting = 0;
    framework::Deadline earliest;
    framework::SteadyTime since {};
    std::uint8_t priority = 0;
    /// For an adapter: the engine that is to load it, which has the model.
    framework::Endpoint at;
};

struct PlannerInput {
    const catalog::EngineProfile& profile;
    /// Over all engines of the service.
    const ReplicaIndex& replicas;
    /// Those that this router subscribes to and has heard.
    std::vector<EngineFacts> engines;
    std::vector<WaitingFor> waiting;
    /// This router's work by model, as parts of an engine's time.
    std::map<framework::ModelName, double> work;
    /// Whether a model that nobody has asked for is really not in demand.
    bool isDemandKnown = false;
    framework::SteadyTime now {};
    /// What a request takes at an engine, lately.
    framework::Milliseconds runTime { 0 };
    policy::PolicySwitches policy {};
    /// Engines whose agents couldn't be reached lately.
    std::set<framework::Endpoint> unreachable {};
};

/// Engines that may be asked for one model.
struct CandidateCounts {
    /// Of those that have its weights cached.
    std::size_t cached = 0;
    /// Of its rendezvous order.
    std::size_t preferred = 0;
};

struct LoadPlan {
    /// Published to the agents of the engines that have been heard.
    std::map<framework::Endpoint, catalog::DemandList> demand;
    /// Engines whose agents this router is to hear.
    std::set<framework::Endpoint> subscriptions;
};

/// Decides which engines' agents this router subscribes to, and which of them it asks for what. All routers choose
/// among the same candidates for a model, so that they mostly name the same engine without talking to each other; when
/// they differ for a moment, a model is loaded twice, which costs a load and no promise.
///
/// A router subscribes to the engines that serve the models that its callers ask for, and to the candidates for the
/// models that are to be loaded: its cost grows with its own requests, not with the number of engines.
class WantedPlanner {
public:
    WantedPlanner();

    LoadPlan plan(const PlannerInput&);

    /// When what is waited for will be at an engine, from now: as agents have said, or by its place among the loads
    /// that wait for the weight store. Nothing if neither is known, or for an adapter: those take milliseconds, and
    /// what agents say is of models.
    std::optional<framework::Milliseconds> soonest(
        const std::vector<EngineFacts>&, const WaitingFor&, framework::SteadyTime now) const;
    /// Whether an engine has been found to load the model.
    bool hasLoader(const framework::ModelName& model) const { return choices_.contains(model); }
    /// Placements that the last plan weighed, for tests of its cost.
    std::size_t placementsWeighed() const { return placementsWeighed_; }

private:
    struct Choice {
        framework::Endpoint engine;
        framework::SteadyTime since {};
    };

    void noteHeld(const PlannerInput&);
    const EngineFacts* factsOf(const framework::Endpoint&) const;
    std::vector<framework::Endpoint> candidatesFor(
        const PlannerInput&, const framework::ModelName&, const CandidateCounts& most);
    bool mayBeAsked(const PlannerInput&, const framework::ModelName&, const framework::Endpoint&) const;
    std::set<framework::Endpoint> subscriptions(const PlannerInput&);
    static std::uint32_t replicasOf(const PlannerInput&, const framework::ModelName&);
    void noteStoreLoads(const PlannerInput&);
    static bool needsStore(const EngineFacts&, const catalog::ModelProfile&);
    bool takeStorePlace(const PlannerInput&, const framework::Endpoint& engine, const catalog::ModelProfile&);
    framework::Milliseconds placingCost(
        const PlannerInput&, const EngineFacts&, const catalog::ModelProfile&, bool isWaitedFor);
    std::vector<framework::Endpoint> cheapestFor(const PlannerInput&, const catalog::ModelProfile&,
        const std::vector<framework::Endpoint>& candidates, std::size_t most,
        const std::set<framework::Endpoint>& askedBefore);
    void noteRefusals(const PlannerInput&);
    bool hasRefused(const framework::ModelName&, const framework::Endpoint& engine) const;
    void planHeld(const PlannerInput&);
    void planWaiting(const PlannerInput&);
    std::vector<WaitingFor> bySequence(const PlannerInput&) const;
    void planWaitingForModel(const PlannerInput&, const WaitingFor&, const catalog::TargetDemand&);
    void planCopies(const PlannerInput&);
    void planPrefetch(const PlannerInput&);
    static bool isCachedEnough(const PlannerInput&, const catalog::ModelProfile&);
    const std::vector<framework::ModelName>& uncached(const PlannerInput&);
    void add(const PlannerInput&, const framework::Endpoint&, catalog::TargetDemand);
    const framework::Endpoint* chooseLoader(const PlannerInput&, const WaitingFor&);
    static std::uint32_t rankOf(const PlannerInput&, const framework::ModelName&, const framework::Endpoint&);

    std::map<framework::Endpoint, catalog::DemandList> lists_;
    std::map<framework::ModelName, Choice> choices_;
    /// Engines that were asked for further copies in the last plan.
    std::map<framework::ModelName, std::set<framework::Endpoint>> copyLoaders_;
    std::unique_ptr<policy::ILoadOrder> loadOrder_;
    policy::StorePlaces storePlaces_;
    /// Loads from the store that are under way or asked for in this plan.
    policy::StoreQueue storeQueue_ { 1, {} };
    /// Models whose loads wait for the store, and when they will be there.
    std::map<framework::ModelName, framework::Deadline> heldBack_;
    /// Of held models, over all routers.
    std::map<framework::ModelName, double> workOfAll_;
    /// When an agent last said that it can't place a model.
    std::map<std::pair<framework::ModelName, framework::Endpoint>, framework::SteadyTime> refusals_;
    /// Of this plan's input.
    std::unordered_map<framework::Endpoint, const EngineFacts*> facts_;
    /// Candidates for models that were to be placed, and when they last were.
    std::map<framework::Endpoint, framework::SteadyTime> candidates_;
    std::size_t placementsWeighed_ = 0;
    /// Models that too few engines have cached, as of this time.
    std::vector<framework::ModelName> uncached_;
    std::optional<framework::SteadyTime> uncachedAt_;
};

} // namespace lagoon::forwarding
