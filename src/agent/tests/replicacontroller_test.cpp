#include "agent/internal/replicaclaims.h"
#include "agent/internal/replicacontroller.h"
#include "agent/tests/fakeengine.h"
#include "agent/tests/fakevmlist.h"
#include "framework/testing/manualcontrol.h"
#include "objectstore/tests/memoryobjectstore.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::agent;
using namespace lagoon::agent::testing;
using framework::AdapterName;
using framework::BundleVersion;
using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::FailureDomainName;
using framework::Incarnation;
using framework::MebiBytes;
using framework::Milliseconds;
using framework::ModelName;
using framework::PoolName;
using framework::SiteName;
using framework::VmName;
using framework::WeightsVersion;
using objectstore::MemoryObjectStore;
using objectstore::WriteFault;

namespace {

const SiteName site { "lagos" };
const PoolName pool { "policy" };
const VmName ownVm { "engine-1" };
const Milliseconds shortWhile { 500 };
const Milliseconds settling { 10000 };

ReplicaId model(const char* name) { return { ModelName(name), AdapterName() }; }
ReplicaId adapter(const char* name, const char* adapterName) { return { ModelName(name), AdapterName(adapterName) }; }

/// A bundle of models of 60 MiB (`a`, `b`) and one of 20 MiB (`small`), and an adapter of `a` of 10 MiB.
bundle::Bundle bundleOf(std::uint64_t version, std::uint32_t replicas, const char* weights = "v1")
{
    bundle::Bundle made;
    made.version = BundleVersion(version);
    for (const auto& [name, memory] :
        std::map<std::string, std::uint64_t> { { "a", 60 }, { "b", 60 }, { "small", 20 } }) {
        bundle::Model one;
        one.name = ModelName(name);
        one.version = WeightsVersion(weights);
        one.memory = MebiBytes(memory);
        one.pools = { pool };
        one.replicas[site] = replicas;
        made.models[one.name] = one;
    }
    bundle::Adapter one;
    one.name = AdapterName("fine");
    one.model = ModelName("a");
    one.version = WeightsVersion("f1");
    one.memory = MebiBytes(10);
    one.replicas[site] = 1;
    made.adapters[one.model][one.name] = one;
    return made;
}

/// What became of a load.
struct LoadWatch {
    bool isDone = false;
    std::optional<Error> error;
    bool isLoaded() const { return isDone && !error; }
    bool isRefused(ErrorCode code) const { return isDone && error && error->code == code; }
};

/// One agent's replicas over fakes; `startAgent` again is a new process on the same VM.
struct Agents {
    /// Long past for the real clock: what waits by that (`objectstore::updateObject`) tries once and gives up.
    framework::ManualControl control { framework::SteadyTime(std::chrono::milliseconds(1)) };
    FakeEngine engineFake { 100 };
    std::shared_ptr<FakeEngine> engine { &engineFake, [](FakeEngine*) {} };
    std::shared_ptr<MemoryObjectStore> store = std::make_shared<MemoryObjectStore>();
    std::shared_ptr<FakeVmList> vmList = std::make_shared<FakeVmList>();
    std::shared_ptr<framework::Metrics> metrics = std::make_shared<framework::Metrics>();
    std::unique_ptr<ReplicaController> replicas;
    std::uint64_t incarnation = 0;
    bool checksFencing = false;

    void startAgent(const bundle::Bundle& inForce = bundleOf(1, 1))
    {
        const framework::ProcessIdentity identity { ownVm, site, FailureDomainName("ikeja") };
        const auto inlineWork = [](const std::function<void()>& work) { work(); };
        auto claims = std::make_shared<ReplicaClaims>(store, vmList, identity, Incarnation(++incarnation), metrics);
        replicas = std::make_unique<ReplicaController>(
            ReplicaPorts { control, control, inlineWork, inlineWork, claims, engine, metrics },
            ReplicaSettings { site, pool, checksFencing, settling });
        replicas->start();
        replicas->setBundle(std::make_shared<bundle::Bundle>(inForce));
        control.advance(Milliseconds(50));
    }

    /// The process dies: nothing of it happens any more.
    void killAgent()
    {
        control.dropAll();
        replicas.reset();
    }

    std::shared_ptr<LoadWatch> load(const ReplicaId& id, Milliseconds within = Milliseconds(60000))
    {
        auto watch = std::make_shared<LoadWatch>();
        replicas->load(id, Deadline::after(control.now(), within), [watch](const std::optional<Error>& error) {
            watch->isDone = true;
            watch->error = error;
        });
        control.runPosted();
        return watch;
    }

    void loadWhole(const ReplicaId& id)
    {
        const auto watch = load(id);
        for (int turn = 0; turn < 40 && !watch->isDone; ++turn) {
            engineFake.finishLoads();
            control.advance(Milliseconds(100));
        }
        BOOST_REQUIRE(watch->isLoaded());
    }

    void use(const ReplicaId& id)
    {
        BOOST_REQUIRE(replicas->beginUse({ id, {} }, control.now()).has_value());
        control.advance(Milliseconds(1000));
        replicas->endUse({ id, {} }, control.now());
    }

    /// As long as loads take that are worth avoiding.
    void loadSlowly(const ReplicaId& id)
    {
        const auto watch = load(id);
        control.advance(Milliseconds(20000));
        engineFake.finishLoads();
        control.advance(shortWhile);
        BOOST_REQUIRE(watch->isLoaded());
    }

    void useAgainAndAgain(const ReplicaId& id, Milliseconds gap, int times)
    {
        for (int time = 0; time < times; ++time) {
            if (!engineFake.stateOf(id))
                loadSlowly(id);
            use(id);
            control.advance(gap);
        }
    }

    /// How long it stays, idle from now on.
    Milliseconds timeToUnload(const ReplicaId& id)
    {
        const framework::SteadyTime from = control.now();
        while (engineFake.stateOf(id) && control.now() - from < std::chrono::hours(25))
            control.advance(Milliseconds(1000));
        return std::chrono::duration_cast<Milliseconds>(control.now() - from);
    }

    std::size_t holders(const ReplicaId& id) const
    {
        const auto key = bundle::replicaKey(site, id.model, id.adapter);
        const auto text = store->valueOf(key);
        return text ? bundle::parseReplicaObject(*text, key).value().holders.size() : 0;
    }

    void setHolders(const ReplicaId& id, std::vector<std::string> vms, std::uint32_t decided = 1)
    {
        bundle::ReplicaObject object;
        object.decided = decided;
        object.bundleVersion = BundleVersion(1);
        for (const std::string& vm : vms)
            object.holders.push_back({ VmName(vm), Incarnation(77), "nonce-" + vm, bundle::HolderState::Loaded });
        store->set(bundle::replicaKey(site, id.model, id.adapter), bundle::replicaObjectText(object));
    }

    Replica stageOf(const ReplicaId& id) const
    {
        const auto found = replicas->replicas().find(id);
        return found == replicas->replicas().end() ? Replica {} : found->second;
    }
    bool isKnown(const ReplicaId& id) const { return replicas->replicas().count(id) > 0; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaControllers, Agents)

BOOST_AUTO_TEST_CASE(aLoadClaimsThenOrdersThenServes)
{
    startAgent();
    const auto watch = load(model("a"));
    BOOST_TEST(holders(model("a")) == 1u);
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loading);
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_error());
    engineFake.finishLoads();
    control.advance(shortWhile);
    BOOST_TEST(watch->isLoaded());
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
}

BOOST_AUTO_TEST_CASE(loadsOfOneTargetCoalesce)
{
    startAgent();
    const auto first = load(model("a"));
    const auto second = load(model("a"));
    engineFake.finishLoads();
    control.advance(shortWhile);
    BOOST_TEST(first->isLoaded());
    BOOST_TEST(second->isLoaded());
    BOOST_TEST(engineFake.loadsTaken == 1u);
}

BOOST_AUTO_TEST_CASE(theCapOfTheBundleHolds)
{
    setHolders(model("a"), { "engine-2" });
    startAgent();
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::ReplicaCapReached));
    BOOST_TEST(engineFake.loadsTaken == 0u);
    BOOST_TEST(holders(model("a")) == 1u);
}

// A VM is reclaimed with a claim. The platform's list says it is gone, and nothing of it can come back: its place must
// not be lost to the model for good.
BOOST_AUTO_TEST_CASE(aGoneVmsPlaceIsTaken)
{
    setHolders(model("a"), { "engine-2" });
    vmList->add("engine-2", objectstore::VmState::Gone);
    startAgent();
    loadWhole(model("a"));
    BOOST_TEST(holders(model("a")) == 1u);
}

BOOST_AUTO_TEST_CASE(anIdleModelGoesWhenMemoryIsShort)
{
    startAgent();
    loadWhole(model("a"));
    loadWhole(model("b"));
    control.advance(shortWhile);
    BOOST_TEST(!engineFake.isOvercommitted);
    BOOST_TEST(!isKnown(model("a")));
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(holders(model("b")) == 1u);
}

// Guards against unloading a model in the short gap between two requests, which makes the second wait for a reload.
BOOST_AUTO_TEST_CASE(aModelStaysLoadedBetweenBackToBackRequests)
{
    startAgent();
    loadWhole(model("a"));
    use(model("a"));
    control.advance(Milliseconds(1000));
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
    BOOST_TEST(engineFake.unloadOrders == 0u);
}

BOOST_AUTO_TEST_CASE(aModelInUseIsNoVictim)
{
    startAgent();
    loadWhole(model("a"));
    BOOST_REQUIRE(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
    BOOST_TEST(load(model("b"))->isRefused(ErrorCode::MemoryShort));
    replicas->endUse({ model("a"), {} }, control.now());
    loadWhole(model("b"));
}

BOOST_AUTO_TEST_CASE(aHopelessLoadIsRefusedAtOnce)
{
    startAgent();
    BOOST_TEST(load(model("a"), Milliseconds(1))->isRefused(ErrorCode::DeadlineHopeless));
    BOOST_TEST(!isKnown(model("a")));
}

BOOST_AUTO_TEST_CASE(anAdapterBringsItsModel)
{
    startAgent();
    loadWhole(adapter("a", "fine"));
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loaded);
    BOOST_TEST(holders(adapter("a", "fine")) == 1u);
    // The model can't go from under a request to the adapter.
    BOOST_REQUIRE(replicas->beginUse({ adapter("a", "fine"), {} }, control.now()).has_value());
    BOOST_TEST(load(model("b"))->isRefused(ErrorCode::MemoryShort));
    replicas->endUse({ adapter("a", "fine"), {} }, control.now());
    loadWhole(model("b"));
    BOOST_TEST(!engineFake.isOvercommitted);
    BOOST_TEST(!engineFake.stateOf(adapter("a", "fine")).has_value());
}

// Guards against a deadlock between an adapter that waits for memory and a load that waits for its model's memory.
BOOST_AUTO_TEST_CASE(anAdapterRequestedWhileItsModelIsUnloadedDoesNotBlockOtherLoads)
{
    startAgent();
    loadWhole(adapter("a", "fine"));
    const auto otherLoad = load(model("b"));
    BOOST_CHECK(stageOf(adapter("a", "fine")).stage == ReplicaStage::Unloading);
    const auto adapterLoad = load(adapter("a", "fine"));
    for (int turn = 0; turn < 100; ++turn) {
        engineFake.finishLoads();
        control.advance(Milliseconds(100));
    }
    BOOST_TEST(otherLoad->isLoaded());
    BOOST_TEST(adapterLoad->isRefused(ErrorCode::NotReady));
    BOOST_TEST(!engineFake.isOvercommitted);
}

// Guards against an adapter that finishes loading while its model is draining and keeps the old model version loaded.
BOOST_AUTO_TEST_CASE(aNewModelVersionIsLoadedEvenIfAnAdapterWasStillLoading)
{
    startAgent();
    loadWhole(model("a"));
    load(adapter("a", "fine"));
    control.advance(Milliseconds(20000));
    BOOST_CHECK(stageOf(adapter("a", "fine")).stage == ReplicaStage::Loading);
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1, "v2")));
    const auto isReloaded = [this] {
        const Replica replica = stageOf(model("a"));
        return replica.stage == ReplicaStage::Loaded && replica.version.value() == "v2";
    };
    for (int turn = 0; turn < 50 && !isReloaded(); ++turn) {
        engineFake.finishLoads();
        control.advance(Milliseconds(100));
    }
    BOOST_TEST(isReloaded());
}

// Guards against a model that waits for memory and keeps its claim after all callers of its adapter have timed out.
BOOST_AUTO_TEST_CASE(aWaitingModelIsReleasedAfterItsAdaptersLastCallerTimesOut)
{
    startAgent();
    loadWhole(model("b"));
    BOOST_REQUIRE(replicas->beginUse({ model("b"), {} }, control.now()).has_value());
    // Makes model b drain, but it keeps its memory while in use.
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1, "v2")));
    const auto watch = load(adapter("a", "fine"), Milliseconds(5000));
    control.advance(shortWhile);
    BOOST_CHECK(stageOf(model("a")).stage == ReplicaStage::WaitingForMemory);
    control.advance(Milliseconds(7000));
    BOOST_TEST(watch->isRefused(ErrorCode::DeadlinePassed));
    BOOST_TEST(!isKnown(adapter("a", "fine")));
    BOOST_TEST(!isKnown(model("a")));
    BOOST_TEST(holders(model("a")) == 0u);
}

BOOST_AUTO_TEST_CASE(aFailedLoadFreesMemoryAndClaim)
{
    startAgent();
    const auto watch = load(model("a"));
    engineFake.failLoads();
    control.advance(shortWhile);
    BOOST_TEST(watch->isRefused(ErrorCode::LoadFailed));
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(replicas->memory().used().value() == 0u);
}

// The platform is down while a claim is to be given up. Forgetting it would leave the model one replica short for good.
BOOST_AUTO_TEST_CASE(aFreeThatCannotBeWrittenIsWrittenLater)
{
    startAgent();
    load(model("a"));
    store->setAvailable(false);
    engineFake.failLoads();
    control.advance(Milliseconds(30000));
    BOOST_TEST(holders(model("a")) == 1u);
    store->setAvailable(true);
    control.advance(Milliseconds(15000));
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(!isKnown(model("a")));
}

// The platform is down when an idle model is called. Warm models go on being served; the load is refused as not run.
BOOST_AUTO_TEST_CASE(withThePlatformDownWarmModelsGoOn)
{
    startAgent();
    loadWhole(model("a"));
    store->setAvailable(false);
    const auto watch = load(model("small"), Milliseconds(1500));
    BOOST_TEST(watch->isRefused(ErrorCode::PlatformUnavailable));
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
}

// The answer to the claim's write is lost though the write took effect, and the load is refused meanwhile. The claim
// must be given up, or the model would stay one replica short.
BOOST_AUTO_TEST_CASE(aClaimOfUnknownOutcomeIsGivenUp)
{
    startAgent();
    store->failNextWrites({ WriteFault::LoseAnswer });
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::PlatformUnavailable));
    control.advance(shortWhile);
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(engineFake.loadsTaken == 0u);
    loadWhole(model("a"));
}

// The same, but the write is merely late, and lands when the agent has given the claim up.
BOOST_AUTO_TEST_CASE(aLateClaimDoesNotTakeAPlace)
{
    startAgent();
    store->failNextWrites({ WriteFault::Hold });
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::PlatformUnavailable));
    control.advance(shortWhile);
    store->deliverHeldWrites();
    BOOST_TEST(holders(model("a")) == 0u);
}

// The engine takes the load order, the agent doesn't learn it, and gives the order again. The load must be one.
BOOST_AUTO_TEST_CASE(aLostAnswerToTheLoadOrderLoadsOnce)
{
    startAgent();
    engineFake.faults = { FakeEngine::OrderFault::LoseAnswer };
    loadWhole(model("a"));
    BOOST_TEST(engineFake.loadsTaken == 1u);
}

// An agent dies in the middle of a load; the next one on the VM finds the load in the engine and carries it on under
// the same claim, instead of loading the model a second time elsewhere.
BOOST_AUTO_TEST_CASE(aRestartedAgentAdoptsTheLoadUnderWay)
{
    startAgent();
    load(model("a"));
    killAgent();
    startAgent();
    BOOST_TEST(holders(model("a")) == 1u);
    const auto watch = load(model("a"));
    engineFake.finishLoads();
    control.advance(shortWhile);
    BOOST_TEST(watch->isLoaded());
    BOOST_TEST(engineFake.loadsTaken == 1u);
    BOOST_TEST(stageOf(model("a")).isClaimed);
}

// An agent dies right after it sent a load order, which the engine reads only much later. The restarted agent sees a
// claim and an empty engine. Were claim and memory freed at once, another model would be loaded, then the late order
// read, and the accelerator overcommitted. The engine ignores fencing numbers.
BOOST_AUTO_TEST_CASE(aLateLoadOfTheFormerAgentIsReckonedWith)
{
    startAgent();
    engineFake.faults = { FakeEngine::OrderFault::Hold };
    load(model("a"));
    killAgent();
    startAgent();
    control.advance(Milliseconds(1000));
    BOOST_CHECK(stageOf(model("a")).stage == ReplicaStage::Settling);
    const auto other = load(model("b"));
    control.advance(Milliseconds(1000));
    BOOST_TEST(engineFake.loadsTaken == 0u);
    engineFake.landHeld();
    control.advance(shortWhile);
    BOOST_CHECK(stageOf(model("a")).stage == ReplicaStage::Loading);
    BOOST_TEST(holders(model("a")) == 1u);
    BOOST_TEST(!other->isDone);
    engineFake.finishLoads();
    control.advance(shortWhile);
    engineFake.finishLoads();
    control.advance(shortWhile);
    BOOST_TEST(other->isLoaded());
    BOOST_TEST(!engineFake.isOvercommitted);
}

BOOST_AUTO_TEST_CASE(aClaimWithoutItsReplicaIsFreedAfterTheSettlingTime)
{
    setHolders(model("a"), { "engine-1" });
    startAgent();
    control.advance(settling - Milliseconds(1000));
    BOOST_TEST(holders(model("a")) == 1u);
    control.advance(Milliseconds(3000));
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(replicas->memory().used().value() == 0u);
}

// The same late order, at an engine that checks fencing numbers: the restarted agent takes the claim over, which gives
// a newer number, and shows it to the engine. The late order is refused, so nothing needs to be waited for.
BOOST_AUTO_TEST_CASE(aCheckingEngineRefusesTheLateLoad)
{
    checksFencing = true;
    engineFake.checksFencing = true;
    startAgent();
    engineFake.faults = { FakeEngine::OrderFault::Hold };
    load(model("a"));
    killAgent();
    startAgent();
    control.advance(Milliseconds(1000));
    BOOST_TEST(holders(model("a")) == 0u);
    loadWhole(model("b"));
    engineFake.landHeld();
    BOOST_TEST(engineFake.loadsTaken == 1u);
    BOOST_TEST(!engineFake.isOvercommitted);
}

BOOST_AUTO_TEST_CASE(nothingIsOrderedBeforeClaimsAreRead)
{
    store->setAvailable(false);
    startAgent();
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::NotReady));
    store->setAvailable(true);
    control.advance(Milliseconds(5000));
    loadWhole(model("a"));
}

// The platform is down when an agent starts beside an engine that has models: they are served all the same.
BOOST_AUTO_TEST_CASE(whatTheEngineHasIsServedBeforeClaimsAreRead)
{
    store->setAvailable(false);
    engineFake.put(model("a"), "v1", 60, EngineReplicaState::Loaded);
    startAgent();
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
}

BOOST_AUTO_TEST_CASE(aNewVersionReplacesTheOldInItsPlace)
{
    startAgent();
    loadWhole(model("a"));
    BOOST_REQUIRE(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1, "v2")));
    control.advance(shortWhile);
    BOOST_TEST(engineFake.versionOf(model("a")) == "v1");
    replicas->endUse({ model("a"), {} }, control.now());
    control.advance(shortWhile);
    BOOST_TEST(engineFake.versionOf(model("a")) == "v2");
    BOOST_TEST(holders(model("a")) == 1u);
    engineFake.finishLoads();
    control.advance(shortWhile);
    BOOST_CHECK(stageOf(model("a")).stage == ReplicaStage::Loaded);
    BOOST_TEST(!engineFake.isOvercommitted);
}

// Operators lower a count while the replicas serve. The last holders drain: requests under way end whole, then the
// replica goes.
BOOST_AUTO_TEST_CASE(aLoweredCountDrainsTheLastHolder)
{
    setHolders(model("a"), { "engine-2" }, 2);
    startAgent(bundleOf(1, 2));
    loadWhole(model("a"));
    BOOST_REQUIRE(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1)));
    control.advance(shortWhile);
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_error());
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loaded);
    replicas->endUse({ model("a"), {} }, control.now());
    control.advance(shortWhile);
    BOOST_TEST(!engineFake.stateOf(model("a")).has_value());
    BOOST_TEST(holders(model("a")) == 1u);
}

BOOST_AUTO_TEST_CASE(anIdleReplicaIsUnloadedInTheEnd)
{
    startAgent();
    loadWhole(model("a"));
    control.advance(std::chrono::hours(25));
    BOOST_TEST(!engineFake.stateOf(model("a")).has_value());
    BOOST_TEST(holders(model("a")) == 0u);
}

BOOST_AUTO_TEST_CASE(whatIsUsedAtShortGapsStaysAndAtLongGapsGoes)
{
    startAgent();
    useAgainAndAgain(model("a"), Milliseconds(25000), 20);
    BOOST_TEST(engineFake.loadsTaken == 1u);
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loaded);
    Agents rare;
    rare.startAgent();
    rare.useAgainAndAgain(model("a"), std::chrono::hours(1), 10);
    BOOST_TEST(rare.engineFake.loadsTaken == 10u);
    rare.loadSlowly(model("a"));
    rare.use(model("a"));
    BOOST_TEST(rare.timeToUnload(model("a")).count() < 25000);
}

// A model is called every half minute until others' loads take its memory. Were its gaps forgotten with it, it would
// have to be learnt anew each time that it is worth keeping, at its callers' cost.
BOOST_AUTO_TEST_CASE(gapsSurviveAnUnload)
{
    constexpr std::size_t from16To32Seconds = 4;
    constexpr float allThatThePriorGives = 5;
    startAgent();
    useAgainAndAgain(model("a"), Milliseconds(25000), 20);
    loadWhole(model("b"));
    BOOST_REQUIRE(!isKnown(model("a")));
    loadWhole(model("a"));
    BOOST_TEST(stageOf(model("a")).gaps.weight(from16To32Seconds) > 2 * allThatThePriorGives);
    // Those of a model that was never used are the prior only.
    loadWhole(model("small"));
    BOOST_TEST(stageOf(model("small")).gaps.weight(from16To32Seconds) <= allThatThePriorGives);
}

// An adapter takes so little memory that by itself it stays for hours, and its model with it, which nobody uses.
BOOST_AUTO_TEST_CASE(adaptersGoBeforeTheirModelAndDoNotHoldIt)
{
    Agents alone;
    alone.startAgent();
    alone.loadSlowly(model("a"));
    alone.use(model("a"));
    const Milliseconds ofModel = alone.timeToUnload(model("a"));
    startAgent();
    loadSlowly(model("a"));
    loadSlowly(adapter("a", "fine"));
    use(adapter("a", "fine"));
    BOOST_TEST(timeToUnload(model("a")).count() <= (ofModel + Milliseconds(10000)).count());
    const std::vector<ReplicaId> inOrder { adapter("a", "fine"), model("a") };
    BOOST_CHECK(engineFake.unloaded == inOrder);
}

BOOST_AUTO_TEST_CASE(aRestartedEngineFreesItsClaims)
{
    startAgent();
    loadWhole(model("a"));
    control.advance(shortWhile);
    engineFake.restart();
    control.advance(Milliseconds(5000));
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_error());
    loadWhole(model("a"));
}

// The answer to a load order is lost, the order is given again and that load fails. The first order may still lie
// unread in the engine, so the memory isn't free yet.
BOOST_AUTO_TEST_CASE(aLostOrderIsReckonedWithAfterItsLoadFailed)
{
    startAgent();
    engineFake.faults = { FakeEngine::OrderFault::Hold };
    const auto watch = load(model("a"));
    control.advance(shortWhile);
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loading);
    engineFake.failLoads();
    control.advance(shortWhile);
    BOOST_TEST(watch->isRefused(ErrorCode::LoadFailed));
    BOOST_CHECK(stageOf(model("a")).stage == ReplicaStage::Settling);
    const auto other = load(model("b"));
    control.advance(shortWhile);
    engineFake.landHeld();
    control.advance(shortWhile);
    BOOST_TEST(!engineFake.isOvercommitted);
    engineFake.finishLoads();
    control.advance(shortWhile);
    engineFake.finishLoads();
    control.advance(shortWhile);
    BOOST_TEST(other->isLoaded());
}

// An engine dies. Homes must not send loads to its agent, which can't carry them out, while others could.
BOOST_AUTO_TEST_CASE(anEngineThatDoesNotAnswerTakesNoLoads)
{
    startAgent();
    BOOST_TEST(!replicas->offer(model("a")).refusal.has_value());
    engineFake.isAvailable = false;
    control.advance(Milliseconds(5000));
    BOOST_TEST(replicas->offer(model("a")).refusal.has_value());
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::NotReady));
    engineFake.isAvailable = true;
    control.advance(Milliseconds(5000));
    loadWhole(model("a"));
}

// An operator releases a claim by force while its agent lives. The next agent to claim relies on the place being free,
// so the replica goes at the latest when the counts are looked at.
BOOST_AUTO_TEST_CASE(aReplicaWhoseClaimWasReleasedByForceGoes)
{
    startAgent(bundleOf(1, 2));
    loadWhole(model("a"));
    setHolders(model("a"), { "engine-2" });
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1)));
    control.advance(shortWhile);
    BOOST_TEST(!engineFake.stateOf(model("a")).has_value());
    BOOST_TEST(holders(model("a")) == 1u);
}

BOOST_AUTO_TEST_CASE(aDrainingAgentTellsThoseWhoWaitForLoads)
{
    startAgent();
    const auto watch = load(model("a"));
    replicas->beginDraining();
    BOOST_TEST(watch->isRefused(ErrorCode::Draining));
    control.advance(shortWhile);
    BOOST_TEST(holders(model("a")) == 1u);
}

BOOST_AUTO_TEST_CASE(aDrainingAgentLoadsNothingAndKeepsItsClaims)
{
    startAgent();
    loadWhole(model("a"));
    replicas->beginDraining();
    BOOST_TEST(load(model("small"))->isRefused(ErrorCode::Draining));
    control.advance(shortWhile);
    BOOST_TEST(holders(model("a")) == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
