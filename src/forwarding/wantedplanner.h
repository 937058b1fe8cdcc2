#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "catalog/types/wanted.h"
#include "framework/types/time.h"
#include "policy/iloadorder.h"
#include "policy/policyswitches.h"
#include "policy/storeplaces.h"
#include "policy/storequeue.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
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
    std::vector<EngineFacts> engines;
    std::vector<WaitingFor> waiting;
    /// This router's work by model, as parts of an engine's time.
    std::map<framework::ModelName, double> work;
    /// Whether the agents of nearly all engines have been heard, so that a model that none has is really missing.
    bool isComplete = false;
    /// Whether a model that nobody has asked for is really not in demand.
    bool isDemandKnown = false;
    framework::SteadyTime now {};
    /// What a request takes at an engine, lately.
    framework::Milliseconds runTime { 0 };
    policy::PolicySwitches policy {};
};

/// Decides which engine's agent this router asks for what. All routers ask by the same order of engines and by states
/// that they all get, so that they mostly name the same engine without talking to each other; when they differ for a
/// moment, a model is loaded twice, which costs a load and no promise.
class WantedPlanner {
public:
    WantedPlanner();

    /// What to tell each agent; engines that are missing are told nothing wanted.
    std::map<framework::Endpoint, catalog::WantedList> plan(const PlannerInput&);

    /// When what is waited for will be at an engine, from now: as agents have said, or by its place among the loads
    /// that wait for the weight store. Nothing if neither is known, or for an adapter: those take milliseconds, and
    /// what agents say is of models.
    std::optional<framework::Milliseconds> soonest(
        const std::vector<EngineFacts>&, const WaitingFor&, framework::SteadyTime now) const;

private:
    struct Choice {
        framework::Endpoint engine;
        framework::SteadyTime since {};
    };

    void forgetOrdersOfOtherEngines(const PlannerInput&);
    void noteHeld(const PlannerInput&);
    std::uint32_t holdersOf(const framework::ModelName&) const;
    void noteStoreLoads(const PlannerInput&);
    static bool needsStore(const EngineFacts&, const catalog::ModelProfile&);
    bool takeStorePlace(const PlannerInput&, const framework::Endpoint& engine, const catalog::ModelProfile&);
    framework::Milliseconds placingCost(
        const PlannerInput&, const EngineFacts&, const catalog::ModelProfile&, bool isWaitedFor);
    std::vector<framework::Endpoint> cheapestFor(const PlannerInput&, const catalog::ModelProfile&, std::size_t most,
        const std::set<framework::Endpoint>& askedBefore);
    void noteRefusals(const PlannerInput&);
    bool hasRefused(const framework::ModelName&, const framework::Endpoint& engine) const;
    void planHeld(const PlannerInput&);
    void planWaiting(const PlannerInput&);
    std::vector<WaitingFor> bySequence(const PlannerInput&) const;
    void planWaitingForModel(const PlannerInput&, const WaitingFor&, const catalog::Wanted&);
    void planCopies(const PlannerInput&);
    void planPrefetch(const PlannerInput&);
    void add(const PlannerInput&, const framework::Endpoint&, catalog::Wanted);
    const framework::Endpoint* chooseLoader(const PlannerInput&, const WaitingFor&);
    const std::vector<framework::Endpoint>& orderOf(const PlannerInput&, const framework::ModelName&);
    std::uint32_t rankOf(const PlannerInput&, const framework::ModelName&, const framework::Endpoint&);

    std::map<framework::Endpoint, catalog::WantedList> lists_;
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
    /// Engines that hold a model and go on holding it.
    std::map<framework::ModelName, std::uint32_t> holders_;
    /// When an agent last said that it can't place a model.
    std::map<std::pair<framework::ModelName, framework::Endpoint>, framework::SteadyTime> refusals_;
    std::vector<framework::Endpoint> orderedEngines_;
    /// By model, `orderedEngines_` in rendezvous order.
    std::map<framework::ModelName, std::vector<framework::Endpoint>> orders_;
};

} // namespace lagoon::forwarding
