#include "forwarding/demandplanner.h"

#include <boost/test/unit_test.hpp>
#include <list>

namespace lagoon::forwarding {

namespace {

using catalog::EngineState;
using catalog::MegaBytes;
using catalog::TargetDemand;
using framework::Deadline;
using framework::Endpoint;
using framework::Milliseconds;
using framework::ModelName;
using framework::SteadyTime;

/// A few engines with 200 GB for weights and models of 70 GB, of which two fit; a load takes 6 s from the weight store
/// and 800 ms from disk.
struct Fixture {
    Fixture()
    {
        profile.weights = MegaBytes(200000);
        profile.adapters = 8;
        for (const std::string name : { "a", "b", "c", "d", "e", "f" })
            profile.models.add({ ModelName(name), MegaBytes(70000), Milliseconds(6000), Milliseconds(800),
                Milliseconds(600), MegaBytes(60), 0 });
    }

    EngineState& engine(const std::string& name, const std::vector<std::string>& held)
    {
        EngineState state;
        state.engine = Endpoint(name);
        for (const std::string& model : held)
            state.held.push_back({ ModelName(model), 1, {}, 0, 0 });
        states.push_back(std::move(state));
        return states.back();
    }

    PlannerInput input()
    {
        PlannerInput made { profile, replicas, {}, waiting, work, isDemandKnown, now, runTime };
        for (const EngineState& state : states) {
            made.engines.push_back({ state.engine, &state, now, {} });
            index(state);
        }
        return made;
    }

    void index(const EngineState& state)
    {
        ReplicaIndex::Contents contents;
        for (const catalog::LoadedModel& held : state.held)
            (state.isDraining(held.model) ? contents.cached : contents.loaded).push_back(held.model);
        contents.cached.insert(contents.cached.end(), state.cachedWeights.disk.begin(), state.cachedWeights.disk.end());
        if (!state.loading.value().empty())
            contents.cached.push_back(state.loading);
        replicas.set(state.engine, contents);
    }

    void wait(const std::string& model, std::uint32_t count = 1)
    {
        waiting.push_back({ { ModelName(model), {} }, count, Deadline::after(now, Milliseconds(15000)), now, 5, {} });
    }

    /// Returns the engines that are asked to load the model.
    std::vector<std::string> asked(const std::string& model)
    {
        std::vector<std::string> engines;
        for (const auto& [engine, list] : planner.plan(input()).demand) {
            for (const TargetDemand& demand : list) {
                if (demand.isLoad() && demand.target.model.value() == model)
                    engines.push_back(engine.value());
            }
        }
        return engines;
    }

    catalog::EngineProfile profile;
    ReplicaIndex replicas;
    std::list<EngineState> states;
    std::vector<WaitingRequests> waiting;
    std::map<ModelName, double> work;
    bool isDemandKnown = true;
    Milliseconds runTime { 0 };
    SteadyTime now { std::chrono::hours(1) };
    DemandPlanner planner;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DemandPlanners, Fixture)

BOOST_AUTO_TEST_CASE(theEngineWithCachedWeightsIsAsked)
{
    engine("1", { "a", "b" });
    engine("2", { "c", "d" }).cachedWeights.disk.push_back(ModelName("e"));
    engine("3", { "a", "b" });
    wait("e");
    BOOST_TEST(asked("e") == std::vector<std::string> { "2" });
}

BOOST_AUTO_TEST_CASE(anEngineWithFreeMemoryIsAskedFirst)
{
    engine("1", { "a", "b" });
    engine("2", { "c" });
    engine("3", { "d", "b" });
    wait("e");
    BOOST_TEST(asked("e") == std::vector<std::string> { "2" });
}

// Prevents a request from waiting 3 s for its model because the chosen engine first has to let two streams of another
// model end, while the models of a neighbouring engine are idle.
BOOST_AUTO_TEST_CASE(anEngineWithIdleModelsIsAskedBeforeOneWithActiveStreams)
{
    runTime = Milliseconds(1500);
    for (const std::string name : { "1", "2", "3", "4", "5" }) {
        EngineState& state = engine(name, { "a", "b" });
        state.cachedWeights.disk.push_back(ModelName("e"));
        state.held[0].inUse = state.held[1].inUse = name == "3" ? 0 : 2;
    }
    wait("e");
    BOOST_TEST(asked("e") == std::vector<std::string> { "3" });
}

// Prevents routers from staying with an engine whose agent reports 1.8 s, because two streams have to end first, when a
// neighbouring engine could load the model in 0.8 s.
BOOST_AUTO_TEST_CASE(anEngineThatIsSlowerByASecondIsReplaced)
{
    for (const std::string name : { "1", "2" })
        engine(name, {}).cachedWeights.disk.push_back(ModelName("e"));
    wait("e");
    const std::string first = asked("e").at(0);
    EngineState& state = states.front().engine.value() == first ? states.front() : states.back();
    state.expected.push_back({ ModelName("e"), Milliseconds(1800) });
    BOOST_REQUIRE(asked("e").size() == 1u);
    BOOST_TEST(asked("e").at(0) != first);
}

BOOST_AUTO_TEST_CASE(anEngineThatIsSlightlySlowerIsKept)
{
    for (const std::string name : { "1", "2" })
        engine(name, {}).cachedWeights.disk.push_back(ModelName("e"));
    wait("e");
    const std::string first = asked("e").at(0);
    EngineState& state = states.front().engine.value() == first ? states.front() : states.back();
    state.expected.push_back({ ModelName("e"), Milliseconds(1300) });
    BOOST_TEST(asked("e").at(0) == first);
}

// Prevents the engine that is just unloading the model from being asked to load it because it has the weights in
// memory: the caller would wait for the last stream there to end, while other engines have the model on disk and enough
// free memory.
BOOST_AUTO_TEST_CASE(anEngineThatIsUnloadingTheModelIsNotAskedToLoadIt)
{
    EngineState& unloading = engine("1", { "e" });
    unloading.draining.push_back(ModelName("e"));
    unloading.cachedWeights.memory.push_back(ModelName("e"));
    engine("2", {}).cachedWeights.disk.push_back(ModelName("e"));
    wait("e");
    BOOST_TEST(asked("e") == std::vector<std::string> { "2" });
}

BOOST_AUTO_TEST_CASE(allRoutersAskTheSameEngine)
{
    for (const std::string name : { "1", "2", "3", "4", "5" })
        engine(name, {});
    wait("e");
    const auto first = asked("e");
    DemandPlanner other;
    std::vector<std::string> second;
    for (const auto& [endpoint, list] : other.plan(input()).demand) {
        for (const TargetDemand& demand : list) {
            if (demand.waiting > 0)
                second.push_back(endpoint.value());
        }
    }
    BOOST_TEST(first.size() == 1U);
    BOOST_TEST(first == second);
}

// Prevents a second copy of a busy model from evicting the only copy of another one: a request for that model seconds
// later took 6 s to load from the weight store, for callers that give up after 5 s.
BOOST_AUTO_TEST_CASE(aCopyEvictsModelsThatAreLoadedElsewhere)
{
    engine("1", { "a" }).held[0].work = 0.6;
    work[ModelName("a")] = 0.6;
    engine("2", { "b", "c" });
    engine("3", { "b", "c" });
    engine("4", { "d", "e" });
    const auto engines = asked("a");
    BOOST_TEST(engines.size() == 1U);
    BOOST_TEST((engines[0] == "2" || engines[0] == "3"));
}

BOOST_AUTO_TEST_CASE(aBusyModelIsNeverEvictedForACopy)
{
    engine("1", { "a" }).held[0].work = 0.6;
    work[ModelName("a")] = 0.6;
    EngineState& full = engine("2", { "b", "c" });
    full.held[0].work = 0.9;
    full.held[1].work = 0.9;
    BOOST_TEST(asked("a").empty());
}

BOOST_AUTO_TEST_CASE(rareModelsHaveOneCopy)
{
    engine("1", { "a" }).held[0].work = 0.1;
    engine("2", {});
    BOOST_TEST(asked("a").empty());
}

// Prevents the weight store from being overloaded: after five servers had crashed, eight models were loaded at once
// from a store that serves four at full speed, so each took 12 s instead of 6 s and all were too late.
BOOST_AUTO_TEST_CASE(loadsFromTheStoreAreLimitedToItsFullSpeed)
{
    for (const std::string name : { "1", "2", "3", "4" }) {
        EngineState& state = engine(name, {});
        state.loading = ModelName("a");
        state.loadsFromStore = true;
    }
    engine("5", {});
    EngineState& onDisk = engine("6", {});
    onDisk.cachedWeights.disk.push_back(ModelName("f"));
    wait("e");
    wait("f");
    BOOST_TEST(asked("e").empty());
    BOOST_TEST(asked("f") == std::vector<std::string> { "6" });
}

// Prevents a planner from alternating between two agents that both refuse while a third engine has enough memory.
BOOST_AUTO_TEST_CASE(anAgentThatRefusedIsNotAskedForAWhile)
{
    EngineState& first = engine("1", {});
    first.cachedWeights.disk.push_back(ModelName("e"));
    engine("2", {});
    wait("e");
    BOOST_TEST(asked("e") == std::vector<std::string> { "1" });
    first.expected.push_back({ ModelName("e"), catalog::loadImpossible });
    BOOST_TEST(asked("e") == std::vector<std::string> { "2" });
    first.expected.clear();
    now += Milliseconds(500);
    BOOST_TEST(asked("e") == std::vector<std::string> { "2" });
}

BOOST_AUTO_TEST_CASE(aModelThatNoEngineHasCachedIsPrefetched)
{
    engine("1", { "a", "b" });
    engine("2", { "c", "d" }).cachedWeights.disk.push_back(ModelName("e"));
    engine("3", {});
    BOOST_TEST(asked("f") == std::vector<std::string> { "3" });
    BOOST_TEST(asked("e").empty());
    states.front().loading = ModelName("f");
    BOOST_TEST(asked("f").empty());
}

// Prevents a look-up in a configuration that has been replaced.
BOOST_AUTO_TEST_CASE(aModelMissingFromTheNewConfigurationIsNotPrefetched)
{
    engine("1", { "a", "b" });
    engine("2", { "c", "d" });
    engine("3", { "e" });
    BOOST_TEST(asked("f") == std::vector<std::string> { "3" });
    profile.models = {};
    BOOST_TEST(asked("f").empty());
}

BOOST_AUTO_TEST_CASE(timeUntilLoadedCountsFromNow)
{
    engine("1", {}).expected.push_back({ ModelName("e"), Milliseconds(900) });
    engine("2", {}).expected.push_back({ ModelName("e"), catalog::loadImpossible });
    PlannerInput made = input();
    WaitingRequests waitingFor;
    waitingFor.target.model = ModelName("e");
    BOOST_TEST(planner.timeUntilLoaded(made.engines, waitingFor, now + Milliseconds(100))->count() == 800);
    waitingFor.target.model = ModelName("f");
    BOOST_TEST(!planner.timeUntilLoaded(made.engines, waitingFor, now));
}

// Prevents a caller from being refused with the 6 s that a further copy of its model takes to load elsewhere, when the
// model is already loaded and only an adapter has to be loaded, which takes 10 ms.
BOOST_AUTO_TEST_CASE(theLoadOfACopyIsNoForecastForAnAdapter)
{
    engine("1", { "e" });
    engine("2", {}).expected.push_back({ ModelName("e"), Milliseconds(6000) });
    WaitingRequests waitingFor;
    waitingFor.target = { ModelName("e"), framework::AdapterName("a1") };
    waitingFor.at = Endpoint("1");
    BOOST_TEST(!planner.timeUntilLoaded(input().engines, waitingFor, now));
}

// Prevents requests from waiting in vain for a load that can't begin in time because the weight store is fully used.
// All engines of a service were replaced by empty ones within 10 s, and 30 models had to be loaded from a store that
// serves four at once: 17 of 91 callers of rare models waited the 10 s until they disconnect without being sent to an
// engine.
BOOST_AUTO_TEST_CASE(aLoadThatWaitsForTheStoreIsForecast)
{
    for (const std::string name : { "1", "2", "3", "4" }) {
        EngineState& state = engine(name, {});
        state.loading = ModelName(name == "1" ? "a" : "b");
        state.loadsFromStore = true;
        state.expected.push_back({ state.loading, Milliseconds(name == "1" ? 2000 : 5000) });
    }
    engine("5", {});
    wait("e");
    BOOST_TEST(asked("e").empty());
    const auto timeUntilLoaded = planner.timeUntilLoaded(input().engines, waiting.front(), now + Milliseconds(500));
    BOOST_REQUIRE(timeUntilLoaded);
    BOOST_TEST(timeUntilLoaded->count() == 2000 + 6000 - 500);
}

// Prevents the last free slot of the weight store from going to the model whose name sorts first, with one waiting
// request, while five requests for another model time out before it is loaded.
BOOST_AUTO_TEST_CASE(theLastStoreSlotGoesToTheModelWithMostWaitingRequests)
{
    for (const std::string name : { "1", "2", "3" }) {
        EngineState& state = engine(name, {});
        state.loading = ModelName("a");
        state.loadsFromStore = true;
    }
    engine("5", {});
    engine("6", {});
    wait("b");
    wait("e", 5);
    BOOST_TEST(asked("e").size() == 1U);
    BOOST_TEST(asked("b").empty());
}

// Prevents prefetching right after a power loss of all machines: the only engine with a busy model's weights on disk
// was asked to load a model without demand, and could load the busy one only after 7 s of overload elsewhere.
BOOST_AUTO_TEST_CASE(nothingIsPrefetchedBeforeDemandIsKnown)
{
    EngineState& only = engine("1", {});
    for (const std::string name : { "a", "b", "c", "d", "e" })
        only.cachedWeights.disk.emplace_back(name);
    isDemandKnown = false;
    BOOST_TEST(asked("f").empty());
    isDemandKnown = true;
    BOOST_TEST(asked("f") == std::vector<std::string> { "1" });
}

// Prevents the requests for a copy from alternating between engines: the first one had to let a stream end, its
// neighbour's stream ended slightly earlier and it was asked instead, and so on, so none of them began to load.
BOOST_AUTO_TEST_CASE(anEngineThatWasAskedForACopyIsKept)
{
    engine("1", { "a" }).held[0].work = 0.9;
    for (const std::string name : { "2", "3" }) {
        EngineState& state = engine(name, { "b", "c" });
        state.cachedWeights.disk.push_back(ModelName("a"));
    }
    work[ModelName("a")] = 0.9;
    runTime = Milliseconds(500);
    const std::string first = asked("a").at(0);
    for (EngineState& state : states) {
        if (state.engine.value() == first)
            state.held[0].inUse = state.held[1].inUse = 1;
    }
    BOOST_TEST(asked("a") == std::vector<std::string> { first });
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Two of these models fit on an engine. Each engine has two loaded, and each model is also cached on one other engine.
struct Fleet {
    explicit Fleet(std::size_t engines)
    {
        const std::size_t models = engines * 2;
        profile.weights = MegaBytes(150000);
        for (std::size_t number = 0; number < models; ++number)
            profile.models.add({ model(number), MegaBytes(70000), Milliseconds(13200), Milliseconds(1000),
                Milliseconds(600), MegaBytes(60), 0 });
        for (std::size_t number = 0; number < engines; ++number) {
            const ReplicaIndex::Contents contents { { model(2 * number), model(2 * number + 1) },
                { model((2 * number + 2) % models) } };
            replicas.set(engine(number), contents);
            EngineState& state = states.emplace_back();
            state.engine = engine(number);
            for (const ModelName& name : contents.loaded)
                state.held.push_back({ name, 1, {}, 0.05, 0 });
            state.cachedWeights.disk = contents.cached;
        }
    }

    static ModelName model(std::size_t number) { return ModelName("m" + std::to_string(number)); }
    static Endpoint engine(std::size_t number) { return Endpoint("e" + std::to_string(number)); }

    /// Plans for a router whose callers use thirty models and wait for five that no engine has loaded.
    LoadPlan plan()
    {
        PlannerInput input { profile, replicas, {}, {}, {}, true, now, Milliseconds(500) };
        for (std::size_t number = 0; number < 30; ++number)
            input.work[model(number)] = 0.05;
        input.unreachable = unreachable;
        for (std::size_t number = 0; mayWait && number < 5; ++number) {
            const ModelName absent("absent" + std::to_string(number));
            input.waiting.push_back({ { absent, {} }, 1, Deadline::after(now, Milliseconds(20000)), now, 5, {} });
        }
        for (const EngineState& state : states) {
            if (subscribed.contains(state.engine))
                input.engines.push_back({ state.engine, &state, now, {} });
        }
        LoadPlan plan = planner.plan(input);
        subscribed = plan.subscriptions;
        return plan;
    }

    std::set<Endpoint> firstOf(const std::string& model, std::size_t count) const
    {
        std::set<Endpoint> engines;
        for (const Endpoint* const engine : replicas.order(ModelName(model))) {
            if (engines.size() == count)
                break;
            engines.insert(*engine);
        }
        return engines;
    }

    void addAbsentModels()
    {
        for (std::size_t number = 0; number < 5; ++number)
            profile.models.add({ ModelName("absent" + std::to_string(number)), MegaBytes(70000), Milliseconds(13200),
                Milliseconds(1000), Milliseconds(600), MegaBytes(60), 0 });
    }

    catalog::EngineProfile profile;
    ReplicaIndex replicas;
    std::list<EngineState> states;
    std::set<Endpoint> subscribed;
    std::set<Endpoint> unreachable;
    bool mayWait = true;
    SteadyTime now { std::chrono::hours(1) };
    DemandPlanner planner;
};

std::vector<std::string> loaders(const LoadPlan& plan, const std::string& model)
{
    std::vector<std::string> engines;
    for (const auto& [engine, list] : plan.demand) {
        for (const TargetDemand& demand : list) {
            if (demand.waiting > 0 && demand.target.model.value() == model)
                engines.push_back(engine.value());
        }
    }
    return engines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DemandPlannersOfLargeFleets)

// Prevents the cost of planning from growing with the number of engines and models.
BOOST_AUTO_TEST_CASE(costDependsOnTheRoutersOwnRequestsOnly)
{
    std::vector<std::size_t> subscriptions;
    std::vector<std::size_t> placements;
    for (const std::size_t engines : { 100, 840 }) {
        Fleet fleet(engines);
        fleet.addAbsentModels();
        (void)fleet.plan();
        const LoadPlan plan = fleet.plan();
        subscriptions.push_back(plan.subscriptions.size());
        placements.push_back(fleet.planner.placementsEvaluated());
    }
    BOOST_TEST(subscriptions[1] <= 80u);
    BOOST_TEST(placements[1] <= 80u);
    BOOST_TEST(static_cast<double>(subscriptions[1]) <= 1.3 * static_cast<double>(subscriptions[0]));
    BOOST_TEST(static_cast<double>(placements[1]) <= 1.3 * static_cast<double>(placements[0]));
}

BOOST_AUTO_TEST_CASE(subscribesToTheEnginesOfTheModelsInUse)
{
    Fleet fleet(100);
    const LoadPlan plan = fleet.plan();
    for (std::size_t number = 0; number < 15; ++number)
        BOOST_TEST(plan.subscriptions.contains(Fleet::engine(number)));
}

// Prevents routers that know the states of different engines from asking different ones to load the same model.
BOOST_AUTO_TEST_CASE(askTheSameEngineDespiteDifferentSubscriptions)
{
    Fleet fleet(100);
    fleet.addAbsentModels();
    Fleet other(100);
    other.addAbsentModels();
    for (std::size_t number = 50; number < 70; ++number)
        other.subscribed.insert(Fleet::engine(number));
    (void)fleet.plan();
    const auto chosen = loaders(fleet.plan(), "absent1");
    const LoadPlan first = other.plan();
    other.subscribed.insert(first.subscriptions.begin(), first.subscriptions.end());
    BOOST_TEST(chosen.size() == 1u);
    BOOST_TEST(loaders(other.plan(), "absent1") == chosen);
}

// Prevents a model from never being loaded because all engines of its first choice have refused it.
BOOST_AUTO_TEST_CASE(continueWithTheNextEnginesWhenTheFirstRefuse)
{
    Fleet fleet(100);
    fleet.addAbsentModels();
    (void)fleet.plan();
    const auto before = fleet.firstOf("absent1", 8);
    for (EngineState& state : fleet.states) {
        if (before.contains(state.engine))
            state.expected.push_back({ ModelName("absent1"), catalog::loadImpossible });
    }
    (void)fleet.plan();
    const auto chosen = loaders(fleet.plan(), "absent1");
    BOOST_REQUIRE(chosen.size() == 1u);
    BOOST_TEST(!before.contains(Endpoint(chosen[0])));
}

// Prevents a model from never being loaded because its preferred engines have no agents, as in a fleet with few agents.
BOOST_AUTO_TEST_CASE(skipEnginesWithUnreachableAgents)
{
    Fleet fleet(100);
    fleet.addAbsentModels();
    fleet.unreachable = fleet.firstOf("absent1", 40);
    (void)fleet.plan();
    const LoadPlan plan = fleet.plan();
    const auto chosen = loaders(plan, "absent1");
    BOOST_REQUIRE(chosen.size() == 1u);
    BOOST_TEST(!fleet.unreachable.contains(Endpoint(chosen[0])));
}

// Prevents connections to agents from being opened and closed from plan to plan.
BOOST_AUTO_TEST_CASE(keepASubscriptionForAWhile)
{
    Fleet fleet(100);
    fleet.addAbsentModels();
    const auto before = fleet.plan().subscriptions;
    fleet.mayWait = false;
    fleet.now += Milliseconds(4000);
    BOOST_TEST((fleet.plan().subscriptions == before));
    fleet.now += Milliseconds(2000);
    BOOST_TEST(fleet.plan().subscriptions.size() < before.size());
}

// Prevents each router from taking the whole fleet's retry budget because no agent receives messages from all routers.
BOOST_AUTO_TEST_CASE(subscribeToTheSameFewEnginesThatCountRouters)
{
    Fleet idle(100);
    idle.profile.models = {};
    PlannerInput input { idle.profile, idle.replicas, {}, {}, {}, true, idle.now, Milliseconds(500) };
    const auto subscriptions = DemandPlanner().plan(input).subscriptions;
    BOOST_TEST(subscriptions.size() == 3u);
    BOOST_TEST((DemandPlanner().plan(input).subscriptions == subscriptions));
}

// Prevents routers from looking for a stream's origin at other engines than those that keep it, and from depending on
// which engines they can reach.
BOOST_AUTO_TEST_CASE(allRoutersChooseTheSameKeepersOfOrigins)
{
    Fleet busy(840);
    const LoadPlan plan = busy.plan();
    BOOST_TEST(plan.keepers.size() == 24u);
    BOOST_TEST(
        std::includes(plan.subscriptions.begin(), plan.subscriptions.end(), plan.keepers.begin(), plan.keepers.end()));
    Fleet idle(840);
    PlannerInput input { idle.profile, idle.replicas, {}, {}, {}, true, idle.now, Milliseconds(500) };
    input.unreachable = plan.keepers;
    BOOST_TEST((DemandPlanner().plan(input).keepers == plan.keepers));
    BOOST_TEST((Fleet(64).plan().keepers.size() == 64u));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
