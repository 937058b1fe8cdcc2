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
const Milliseconds shortWait { 500 };
const Milliseconds settling { 10000 };

ReplicaId model(const char* name) { return { ModelName(name), AdapterName() }; }
ReplicaId adapter(const char* name, const char* adapterName) { return { ModelName(name), AdapterName(adapterName) }; }

/// A bundle with models of 60 MiB (`a`, `b`) and 20 MiB (`small`), and an adapter of `a` of 10 MiB.
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

/// Records the result of a load.
struct LoadWatch {
    bool isDone = false;
    std::optional<Error> error;
    bool isLoaded() const { return isDone && !error; }
    bool isRefused(ErrorCode code) const { return isDone && error && error->code == code; }
};

/// The replica controller of one agent with fake dependencies. Another call of `startAgent` starts a new process on the
/// same VM.
struct ControllerFixture {
    /// Starts far in the past of the real clock: code that waits by the real clock (`objectstore::updateObject`) tries
    /// once and gives up.
    framework::ManualControl control { framework::SteadyTime(std::chrono::milliseconds(1)) };
    FakeEngine engineFake { 100 };
    std::shared_ptr<FakeEngine> engine { &engineFake, [](FakeEngine*) {} };
    std::shared_ptr<MemoryObjectStore> store = std::make_shared<MemoryObjectStore>();
    std::shared_ptr<FakeVmList> vmList = std::make_shared<FakeVmList>();
    std::shared_ptr<framework::Metrics> metrics = std::make_shared<framework::Metrics>();
    std::unique_ptr<ReplicaController> replicas;
    std::uint64_t incarnation = 0;
    bool checksFencing = false;
    bool isEngineLeaving = false;

    void startAgent(const bundle::Bundle& initialBundle = bundleOf(1, 1))
    {
        const framework::ProcessIdentity identity { ownVm, site, FailureDomainName("ikeja") };
        const auto inlineWork = [](const std::function<void()>& work) { work(); };
        auto claims = std::make_shared<ReplicaClaims>(store, vmList, identity, Incarnation(++incarnation), metrics);
        replicas = std::make_unique<ReplicaController>(ReplicaPorts { control, control, inlineWork, inlineWork, claims,
                                                           engine, metrics, [] {}, [this] { return isEngineLeaving; } },
            ReplicaSettings { site, pool, checksFencing, settling });
        replicas->start();
        replicas->setBundle(std::make_shared<bundle::Bundle>(initialBundle));
        control.advance(Milliseconds(50));
    }

    /// Simulates the death of the process: its pending callbacks are dropped.
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

    void loadAndWait(const ReplicaId& id)
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

    /// Loads a replica so slowly that avoiding a reload is worthwhile.
    void loadSlowly(const ReplicaId& id)
    {
        const auto watch = load(id);
        control.advance(Milliseconds(20000));
        engineFake.finishLoads();
        control.advance(shortWait);
        BOOST_REQUIRE(watch->isLoaded());
    }

    void useRepeatedly(const ReplicaId& id, Milliseconds gap, int times)
    {
        for (int time = 0; time < times; ++time) {
            if (!engineFake.stateOf(id))
                loadSlowly(id);
            use(id);
            control.advance(gap);
        }
    }

    /// How long the replica stays loaded if it is idle from now on.
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

    Replica replicaOf(const ReplicaId& id) const
    {
        const auto found = replicas->replicas().find(id);
        return found == replicas->replicas().end() ? Replica {} : found->second;
    }
    bool isKnown(const ReplicaId& id) const { return replicas->replicas().count(id) > 0; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaControllers, ControllerFixture)

BOOST_AUTO_TEST_CASE(aLoadClaimsThenOrdersThenServes)
{
    startAgent();
    const auto watch = load(model("a"));
    BOOST_TEST(holders(model("a")) == 1u);
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loading);
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_error());
    engineFake.finishLoads();
    control.advance(shortWait);
    BOOST_TEST(watch->isLoaded());
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
}

BOOST_AUTO_TEST_CASE(loadsOfOneTargetCoalesce)
{
    startAgent();
    const auto first = load(model("a"));
    const auto second = load(model("a"));
    engineFake.finishLoads();
    control.advance(shortWait);
    BOOST_TEST(first->isLoaded());
    BOOST_TEST(second->isLoaded());
    BOOST_TEST(engineFake.loadsAccepted == 1u);
}

BOOST_AUTO_TEST_CASE(theReplicaCapOfTheBundleIsEnforced)
{
    setHolders(model("a"), { "engine-2" });
    startAgent();
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::ReplicaCapReached));
    BOOST_TEST(engineFake.loadsAccepted == 0u);
    BOOST_TEST(holders(model("a")) == 1u);
}

// A VM is reclaimed while it holds a claim. The platform lists it as gone, so its replica can't come back, and its slot
// must be available again; otherwise the model would permanently have one replica too few.
BOOST_AUTO_TEST_CASE(theSlotOfAGoneVmCanBeClaimed)
{
    setHolders(model("a"), { "engine-2" });
    vmList->add("engine-2", objectstore::VmState::Gone);
    startAgent();
    loadAndWait(model("a"));
    BOOST_TEST(holders(model("a")) == 1u);
}

BOOST_AUTO_TEST_CASE(anIdleModelIsEvictedWhenMemoryIsShort)
{
    startAgent();
    loadAndWait(model("a"));
    loadAndWait(model("b"));
    control.advance(shortWait);
    BOOST_TEST(!engineFake.isOvercommitted);
    BOOST_TEST(!isKnown(model("a")));
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(holders(model("b")) == 1u);
}

// Prevents unloading a model in the short gap between two requests, which would make the second wait for a reload.
BOOST_AUTO_TEST_CASE(aModelStaysLoadedBetweenBackToBackRequests)
{
    startAgent();
    loadAndWait(model("a"));
    use(model("a"));
    control.advance(Milliseconds(1000));
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
    BOOST_TEST(engineFake.unloadOrders == 0u);
}

BOOST_AUTO_TEST_CASE(aModelInUseIsNotEvicted)
{
    startAgent();
    loadAndWait(model("a"));
    BOOST_REQUIRE(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
    BOOST_TEST(load(model("b"))->isRefused(ErrorCode::MemoryShort));
    replicas->endUse({ model("a"), {} }, control.now());
    loadAndWait(model("b"));
}

BOOST_AUTO_TEST_CASE(aHopelessLoadIsRefusedImmediately)
{
    startAgent();
    BOOST_TEST(load(model("a"), Milliseconds(1))->isRefused(ErrorCode::DeadlineHopeless));
    BOOST_TEST(!isKnown(model("a")));
}

BOOST_AUTO_TEST_CASE(loadingAnAdapterLoadsItsModel)
{
    startAgent();
    loadAndWait(adapter("a", "fine"));
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loaded);
    BOOST_TEST(holders(adapter("a", "fine")) == 1u);
    // The model can't be evicted while a request uses its adapter.
    BOOST_REQUIRE(replicas->beginUse({ adapter("a", "fine"), {} }, control.now()).has_value());
    BOOST_TEST(load(model("b"))->isRefused(ErrorCode::MemoryShort));
    replicas->endUse({ adapter("a", "fine"), {} }, control.now());
    loadAndWait(model("b"));
    BOOST_TEST(!engineFake.isOvercommitted);
    BOOST_TEST(!engineFake.stateOf(adapter("a", "fine")).has_value());
}

// Prevents a deadlock between an adapter that waits for memory and a load that waits for its model's memory.
BOOST_AUTO_TEST_CASE(anAdapterRequestedWhileItsModelIsUnloadedDoesNotBlockOtherLoads)
{
    startAgent();
    loadAndWait(adapter("a", "fine"));
    const auto otherLoad = load(model("b"));
    BOOST_CHECK(replicaOf(adapter("a", "fine")).stage == ReplicaStage::Unloading);
    const auto adapterLoad = load(adapter("a", "fine"));
    for (int turn = 0; turn < 100; ++turn) {
        engineFake.finishLoads();
        control.advance(Milliseconds(100));
    }
    BOOST_TEST(otherLoad->isLoaded());
    BOOST_TEST(adapterLoad->isRefused(ErrorCode::NotReady));
    BOOST_TEST(!engineFake.isOvercommitted);
}

// Prevents an adapter that finishes loading while its model is draining from keeping the old model version loaded.
BOOST_AUTO_TEST_CASE(aNewModelVersionIsLoadedEvenIfAnAdapterWasStillLoading)
{
    startAgent();
    loadAndWait(model("a"));
    load(adapter("a", "fine"));
    control.advance(Milliseconds(20000));
    BOOST_CHECK(replicaOf(adapter("a", "fine")).stage == ReplicaStage::Loading);
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1, "v2")));
    const auto isReloaded = [this] {
        const Replica replica = replicaOf(model("a"));
        return replica.stage == ReplicaStage::Loaded && replica.version.value() == "v2";
    };
    for (int turn = 0; turn < 50 && !isReloaded(); ++turn) {
        engineFake.finishLoads();
        control.advance(Milliseconds(100));
    }
    BOOST_TEST(isReloaded());
}

// Prevents a model that waits for memory from keeping its claim after all callers of its adapter have timed out.
BOOST_AUTO_TEST_CASE(aWaitingModelIsReleasedAfterItsAdaptersLastCallerTimesOut)
{
    startAgent();
    loadAndWait(model("b"));
    BOOST_REQUIRE(replicas->beginUse({ model("b"), {} }, control.now()).has_value());
    // Makes model b drain, but it keeps its memory while in use.
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1, "v2")));
    const auto watch = load(adapter("a", "fine"), Milliseconds(5000));
    control.advance(shortWait);
    BOOST_CHECK(replicaOf(model("a")).stage == ReplicaStage::WaitingForMemory);
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
    control.advance(shortWait);
    BOOST_TEST(watch->isRefused(ErrorCode::LoadFailed));
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(replicas->memory().used().value() == 0u);
}

// Prevents a claim from being lost when the platform is down during its release: the model would permanently have one
// replica too few.
BOOST_AUTO_TEST_CASE(aReleaseThatCannotBeWrittenIsRetried)
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

// While the platform is down, loaded models must still be served, and a load of another model is refused as not run.
BOOST_AUTO_TEST_CASE(loadedModelsAreServedWhileThePlatformIsDown)
{
    startAgent();
    loadAndWait(model("a"));
    store->setAvailable(false);
    const auto watch = load(model("small"), Milliseconds(1500));
    BOOST_TEST(watch->isRefused(ErrorCode::PlatformUnavailable));
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
}

// A claim write takes effect, but its answer is lost and the load is refused. The claim must be released; otherwise the
// model would have one replica too few.
BOOST_AUTO_TEST_CASE(aClaimOfUnknownOutcomeIsReleased)
{
    startAgent();
    store->failNextWrites({ WriteFault::LoseAnswer });
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::PlatformUnavailable));
    control.advance(shortWait);
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(engineFake.loadsAccepted == 0u);
    loadAndWait(model("a"));
}

// Prevents a claim write that is delayed until the agent has released the claim from taking a slot.
BOOST_AUTO_TEST_CASE(aLateClaimDoesNotTakeASlot)
{
    startAgent();
    store->failNextWrites({ WriteFault::Hold });
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::PlatformUnavailable));
    control.advance(shortWait);
    store->deliverHeldWrites();
    BOOST_TEST(holders(model("a")) == 0u);
}

// The engine accepts a load order, but its answer is lost and the agent repeats the order. The engine must load once.
BOOST_AUTO_TEST_CASE(aLostAnswerToTheLoadOrderLoadsOnce)
{
    startAgent();
    engineFake.faults = { FakeEngine::OrderFault::LoseAnswer };
    loadAndWait(model("a"));
    BOOST_TEST(engineFake.loadsAccepted == 1u);
}

// An agent dies during a load. The next agent on the VM must find the load in the engine and continue it under the same
// claim, instead of the model being loaded a second time elsewhere.
BOOST_AUTO_TEST_CASE(aRestartedAgentAdoptsTheLoadInProgress)
{
    startAgent();
    load(model("a"));
    killAgent();
    startAgent();
    BOOST_TEST(holders(model("a")) == 1u);
    const auto watch = load(model("a"));
    engineFake.finishLoads();
    control.advance(shortWait);
    BOOST_TEST(watch->isLoaded());
    BOOST_TEST(engineFake.loadsAccepted == 1u);
    BOOST_TEST(replicaOf(model("a")).isClaimed);
}

// Prevents overcommitted accelerator memory: an agent dies right after it has sent a load order, which the engine reads
// only much later. The restarted agent sees a claim and an empty engine. If it freed claim and memory immediately, it
// would load another model before the late order arrives. The engine ignores fencing tokens.
BOOST_AUTO_TEST_CASE(memoryStaysReservedForALateLoadOfThePreviousAgent)
{
    startAgent();
    engineFake.faults = { FakeEngine::OrderFault::Hold };
    load(model("a"));
    killAgent();
    startAgent();
    control.advance(Milliseconds(1000));
    BOOST_CHECK(replicaOf(model("a")).stage == ReplicaStage::Settling);
    const auto other = load(model("b"));
    control.advance(Milliseconds(1000));
    BOOST_TEST(engineFake.loadsAccepted == 0u);
    engineFake.deliverHeld();
    control.advance(shortWait);
    BOOST_CHECK(replicaOf(model("a")).stage == ReplicaStage::Loading);
    BOOST_TEST(holders(model("a")) == 1u);
    BOOST_TEST(!other->isDone);
    engineFake.finishLoads();
    control.advance(shortWait);
    engineFake.finishLoads();
    control.advance(shortWait);
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

// A late load order of a previous agent reaches an engine that checks fencing tokens. The restarted agent takes over
// the claim, which gives a newer token, and sends it to the engine. The engine then refuses the late order, so the
// agent doesn't have to wait for the settling time.
BOOST_AUTO_TEST_CASE(anEngineThatChecksFencingRefusesTheLateLoad)
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
    loadAndWait(model("b"));
    engineFake.deliverHeld();
    BOOST_TEST(engineFake.loadsAccepted == 1u);
    BOOST_TEST(!engineFake.isOvercommitted);
}

BOOST_AUTO_TEST_CASE(nothingIsOrderedBeforeClaimsAreRead)
{
    store->setAvailable(false);
    startAgent();
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::NotReady));
    store->setAvailable(true);
    control.advance(Milliseconds(5000));
    loadAndWait(model("a"));
}

// If the platform is down when an agent starts, the models that its engine has loaded must still be served.
BOOST_AUTO_TEST_CASE(loadedModelsAreServedBeforeClaimsAreRead)
{
    store->setAvailable(false);
    engineFake.addReplica(model("a"), "v1", 60, EngineReplicaState::Loaded);
    startAgent();
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
}

BOOST_AUTO_TEST_CASE(aNewVersionReplacesTheOldUnderTheSameClaim)
{
    startAgent();
    loadAndWait(model("a"));
    BOOST_REQUIRE(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1, "v2")));
    control.advance(shortWait);
    BOOST_TEST(engineFake.versionOf(model("a")) == "v1");
    replicas->endUse({ model("a"), {} }, control.now());
    control.advance(shortWait);
    BOOST_TEST(engineFake.versionOf(model("a")) == "v2");
    BOOST_TEST(holders(model("a")) == 1u);
    engineFake.finishLoads();
    control.advance(shortWait);
    BOOST_CHECK(replicaOf(model("a")).stage == ReplicaStage::Loaded);
    BOOST_TEST(!engineFake.isOvercommitted);
}

// When operators lower a count while the replicas serve, the last holders drain: requests in progress complete, then
// the replica is unloaded.
BOOST_AUTO_TEST_CASE(aLoweredCountDrainsTheLastHolder)
{
    setHolders(model("a"), { "engine-2" }, 2);
    startAgent(bundleOf(1, 2));
    loadAndWait(model("a"));
    BOOST_REQUIRE(replicas->beginUse({ model("a"), {} }, control.now()).has_value());
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1)));
    control.advance(shortWait);
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_error());
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loaded);
    replicas->endUse({ model("a"), {} }, control.now());
    control.advance(shortWait);
    BOOST_TEST(!engineFake.stateOf(model("a")).has_value());
    BOOST_TEST(holders(model("a")) == 1u);
}

BOOST_AUTO_TEST_CASE(anIdleReplicaIsEventuallyUnloaded)
{
    startAgent();
    loadAndWait(model("a"));
    control.advance(std::chrono::hours(25));
    BOOST_TEST(!engineFake.stateOf(model("a")).has_value());
    BOOST_TEST(holders(model("a")) == 0u);
}

BOOST_AUTO_TEST_CASE(replicasStayLoadedAtShortIdleGapsAndNotAtLongOnes)
{
    startAgent();
    useRepeatedly(model("a"), Milliseconds(25000), 20);
    BOOST_TEST(engineFake.loadsAccepted == 1u);
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loaded);
    ControllerFixture rare;
    rare.startAgent();
    rare.useRepeatedly(model("a"), std::chrono::hours(1), 10);
    BOOST_TEST(rare.engineFake.loadsAccepted == 10u);
    rare.loadSlowly(model("a"));
    rare.use(model("a"));
    BOOST_TEST(rare.timeToUnload(model("a")).count() < 25000);
}

// A model that is used every half minute is evicted by the load of another. If its idle gaps were dropped with it, the
// policy would have to learn each time again that it is worth keeping, while its callers wait for reloads.
BOOST_AUTO_TEST_CASE(idleGapsSurviveAnUnload)
{
    constexpr std::size_t bucket16To32Seconds = 4;
    constexpr float priorWeight = 5;
    startAgent();
    useRepeatedly(model("a"), Milliseconds(25000), 20);
    loadAndWait(model("b"));
    BOOST_REQUIRE(!isKnown(model("a")));
    loadAndWait(model("a"));
    BOOST_TEST(replicaOf(model("a")).gaps.weight(bucket16To32Seconds) > 2 * priorWeight);
    // The gaps of a model that was never used consist of the prior only.
    loadAndWait(model("small"));
    BOOST_TEST(replicaOf(model("small")).gaps.weight(bucket16To32Seconds) <= priorWeight);
}

// An adapter takes so little memory that it would stay loaded for hours. It must not keep its model, which nobody uses,
// loaded for as long.
BOOST_AUTO_TEST_CASE(adaptersAreUnloadedBeforeTheirModelAndDoNotKeepItLoaded)
{
    ControllerFixture alone;
    alone.startAgent();
    alone.loadSlowly(model("a"));
    alone.use(model("a"));
    const Milliseconds modelTime = alone.timeToUnload(model("a"));
    startAgent();
    loadSlowly(model("a"));
    loadSlowly(adapter("a", "fine"));
    use(adapter("a", "fine"));
    BOOST_TEST(timeToUnload(model("a")).count() <= (modelTime + Milliseconds(10000)).count());
    const std::vector<ReplicaId> inOrder { adapter("a", "fine"), model("a") };
    BOOST_CHECK(engineFake.unloaded == inOrder);
}

BOOST_AUTO_TEST_CASE(claimsAreReleasedAfterAnEngineRestart)
{
    startAgent();
    loadAndWait(model("a"));
    control.advance(shortWait);
    engineFake.restart();
    control.advance(Milliseconds(5000));
    BOOST_TEST(holders(model("a")) == 0u);
    BOOST_TEST(replicas->beginUse({ model("a"), {} }, control.now()).has_error());
    loadAndWait(model("a"));
}

// The answer to a load order is lost, the order is repeated and that load fails. The first order may still be unread in
// the engine, so the memory must stay reserved.
BOOST_AUTO_TEST_CASE(memoryStaysReservedForALostOrderAfterItsLoadFailed)
{
    startAgent();
    engineFake.faults = { FakeEngine::OrderFault::Hold };
    const auto watch = load(model("a"));
    control.advance(shortWait);
    BOOST_CHECK(engineFake.stateOf(model("a")) == EngineReplicaState::Loading);
    engineFake.failLoads();
    control.advance(shortWait);
    BOOST_TEST(watch->isRefused(ErrorCode::LoadFailed));
    BOOST_CHECK(replicaOf(model("a")).stage == ReplicaStage::Settling);
    const auto other = load(model("b"));
    control.advance(shortWait);
    engineFake.deliverHeld();
    control.advance(shortWait);
    BOOST_TEST(!engineFake.isOvercommitted);
    engineFake.finishLoads();
    control.advance(shortWait);
    engineFake.finishLoads();
    control.advance(shortWait);
    BOOST_TEST(other->isLoaded());
}

// Prevents homes from sending loads to an agent whose engine has died, while other agents could carry them out.
BOOST_AUTO_TEST_CASE(loadsAreRefusedWhileTheEngineDoesNotAnswer)
{
    startAgent();
    BOOST_TEST(!replicas->offer(model("a")).refusal.has_value());
    engineFake.isAvailable = false;
    control.advance(Milliseconds(5000));
    BOOST_TEST(replicas->offer(model("a")).refusal.has_value());
    BOOST_TEST(load(model("a"))->isRefused(ErrorCode::NotReady));
    engineFake.isAvailable = true;
    control.advance(Milliseconds(5000));
    loadAndWait(model("a"));
}

// An operator releases a claim by force while its agent still runs. The next agent to claim the slot relies on it being
// free, so the replica must be unloaded at the latest when the count is checked.
BOOST_AUTO_TEST_CASE(aReplicaWhoseClaimWasReleasedByForceIsUnloaded)
{
    startAgent(bundleOf(1, 2));
    loadAndWait(model("a"));
    setHolders(model("a"), { "engine-2" });
    replicas->setBundle(std::make_shared<bundle::Bundle>(bundleOf(2, 1)));
    control.advance(shortWait);
    BOOST_TEST(!engineFake.stateOf(model("a")).has_value());
    BOOST_TEST(holders(model("a")) == 1u);
}

BOOST_AUTO_TEST_CASE(aDrainingAgentRefusesPendingLoads)
{
    startAgent();
    const auto watch = load(model("a"));
    replicas->beginDraining();
    BOOST_TEST(watch->isRefused(ErrorCode::Draining));
    control.advance(shortWait);
    BOOST_TEST(holders(model("a")) == 1u);
}

// Prevents loads at an engine that has said that it ends soon.
BOOST_AUTO_TEST_CASE(anEngineThatLeavesLoadsNothing)
{
    startAgent();
    isEngineLeaving = true;
    BOOST_TEST(load(model("small"))->isRefused(ErrorCode::Draining));
    isEngineLeaving = false;
    BOOST_TEST(!load(model("small"))->isRefused(ErrorCode::Draining));
}

BOOST_AUTO_TEST_CASE(aDrainingAgentLoadsNothingAndKeepsItsClaims)
{
    startAgent();
    loadAndWait(model("a"));
    replicas->beginDraining();
    BOOST_TEST(load(model("small"))->isRefused(ErrorCode::Draining));
    control.advance(shortWait);
    BOOST_TEST(holders(model("a")) == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
