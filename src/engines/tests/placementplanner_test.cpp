#include "engines/demandtable.h"
#include "engines/placementplanner.h"
#include "policy/policysetup.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::engines {

namespace {

using catalog::MegaBytes;
using catalog::ModelTarget;
using catalog::TargetDemand;
using framework::AdapterName;
using framework::Deadline;
using framework::Milliseconds;
using framework::ModelName;
using framework::SteadyTime;

ModelTarget target(const std::string& model, const std::string& adapter = {})
{
    return { ModelName(model), AdapterName(adapter) };
}

/// An engine with a capacity of 200 GB, enough for two models of 70 GB each, and with two adapter slots.
struct Fixture {
    Fixture()
    {
        profile.weights = MegaBytes(200000);
        profile.adapters = 2;
        for (const std::string name : { "a", "b", "c", "d" })
            profile.models.add({ ModelName(name), MegaBytes(70000), Milliseconds(6000), Milliseconds(800),
                Milliseconds(600), MegaBytes(60), 0 });
    }

    void addLoaded(const std::string& model, const std::vector<std::string>& adapters = {})
    {
        report.held.push_back({ ModelName(model), 1, { adapters.begin(), adapters.end() }, 0 });
    }

    TargetDemand& demandFor(const ModelTarget& what)
    {
        TargetDemand& made = demand[what];
        made.target = what;
        made.holders = std::max<std::uint32_t>(made.holders, 1);
        return made;
    }

    void addWaiting(const ModelTarget& what, std::uint32_t count = 1, Milliseconds left = Milliseconds(15000))
    {
        TargetDemand& made = demandFor(what);
        made.waiting = count;
        made.earliest = Deadline::after(now, left);
        made.priority = 5;
    }

    PlacementDecision decide() { return planner.decide({ profile, report, demand, now }); }

    /// Decides after the models' minimum residence has passed.
    PlacementDecision decideLater()
    {
        (void)decide();
        now += Milliseconds(5000);
        return decide();
    }

    catalog::EngineProfile profile;
    EngineReport report;
    std::map<ModelTarget, TargetDemand> demand;
    SteadyTime now { std::chrono::hours(1) };
    PlacementPlanner planner { policy::makeLoadOrder({}) };
};

const Order loadA { OrderKind::Load, target("a") };

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementPlanners, Fixture)

BOOST_AUTO_TEST_CASE(aModelWithWaitingRequestsIsLoadedIfItFits)
{
    addLoaded("b");
    addWaiting(target("a"));
    const PlacementDecision decision = decide();
    BOOST_TEST((decision.order == loadA));
    BOOST_TEST(decision.expected.front().within.count() == 6000);
}

BOOST_AUTO_TEST_CASE(theModelWithTheLowestRetentionValueIsEvictedFirst)
{
    addLoaded("b");
    addLoaded("c");
    demandFor(target("b")).work = 0.1;
    demandFor(target("c")).work = 0.05;
    addWaiting(target("a"));
    const PlacementDecision decision = decideLater();
    BOOST_TEST((decision.order == Order { OrderKind::Unload, target("c") }));
    BOOST_TEST((decision.draining == std::vector<ModelName> { ModelName("c") }));
}

BOOST_AUTO_TEST_CASE(aSurplusCopyIsEvictedBeforeARareModel)
{
    addLoaded("b");
    addLoaded("c");
    TargetDemand& busy = demandFor(target("b"));
    busy.work = 0.4;
    busy.holders = 5;
    demandFor(target("c")).work = 0.01;
    addWaiting(target("a"));
    BOOST_TEST((decideLater().order == Order { OrderKind::Unload, target("b") }));
}

// Prevents the only copy of the busiest model from being evicted for a model that one caller waits for.
BOOST_AUTO_TEST_CASE(theOnlyCopyOfABusyModelIsNotEvicted)
{
    addLoaded("b");
    addLoaded("c");
    demandFor(target("b")).work = 0.6;
    demandFor(target("c")).work = 0.6;
    addWaiting(target("a"));
    const PlacementDecision decision = decideLater();
    BOOST_TEST(!decision.order);
    BOOST_REQUIRE(decision.expected.size() == 1U);
    BOOST_TEST(decision.expected.front().within.count() == catalog::loadImpossible.count());
}

// Prevents an unload order for a model in use: the engine waited until the model's request had ended, and accepted no
// other order for ten seconds.
BOOST_AUTO_TEST_CASE(aModelInUseDrainsBeforeItIsUnloaded)
{
    addLoaded("b");
    addLoaded("c");
    demandFor(target("b")).inFlight = 1;
    demandFor(target("c")).inFlight = 2;
    demandFor(target("c")).work = 0.01;
    addWaiting(target("a"));
    PlacementDecision decision = decideLater();
    BOOST_TEST(!decision.order);
    BOOST_TEST(decision.draining.size() == 1U);
    demandFor(target(decision.draining.front().value())).inFlight = 0;
    decision = decide();
    BOOST_REQUIRE(decision.order);
    BOOST_TEST((decision.order->kind == OrderKind::Unload));
}

// Prevents a model from being evicted for the next one right after its load, before the requests that waited for it
// (four in the observed case) have arrived.
BOOST_AUTO_TEST_CASE(aModelThatWasJustLoadedIsNotEvicted)
{
    addLoaded("b");
    addLoaded("c");
    addWaiting(target("a"));
    BOOST_TEST(!decide().order);
    now += Milliseconds(400);
    BOOST_TEST((decide().order.has_value()));
}

BOOST_AUTO_TEST_CASE(waitingRequestsTakePrecedenceOverCopiesAndPrefetches)
{
    demandFor(target("b")).isCopy = true;
    demandFor(target("c")).isPrefetch = true;
    addWaiting(target("a"));
    BOOST_TEST((decide().order == loadA));
    demand.erase(target("a"));
    BOOST_TEST((decide().order == Order { OrderKind::Load, target("b") }));
}

BOOST_AUTO_TEST_CASE(noModelInUseIsEvictedForACopy)
{
    addLoaded("b");
    addLoaded("c");
    demandFor(target("b")).inFlight = 1;
    demandFor(target("c")).inFlight = 1;
    demandFor(target("a")).isCopy = true;
    BOOST_TEST(!decideLater().order);
}

BOOST_AUTO_TEST_CASE(noOrderIsGivenWhileAnotherIsInProgress)
{
    addWaiting(target("a"));
    planner.didOrder(loadA, { profile, report, demand, now });
    report.isBusy = true;
    addWaiting(target("b"));
    now += Milliseconds(1000);
    const PlacementDecision decision = decide();
    BOOST_TEST(!decision.order);
    BOOST_TEST(planner.loading() == ModelName("a"));
    BOOST_TEST(planner.loadsFromStore());
    BOOST_TEST(decision.expected.at(0).within.count() == 5000);
    BOOST_TEST(decision.expected.at(1).within.count() == 11000);
}

BOOST_AUTO_TEST_CASE(anOverdueLoadIsExpectedToTakeAsLongAgainAsItIsOverdue)
{
    addWaiting(target("a"));
    planner.didOrder(loadA, { profile, report, demand, now });
    report.isBusy = true;
    now += Milliseconds(8000);
    BOOST_TEST(decide().expected.front().within.count() == 2000);
}

BOOST_AUTO_TEST_CASE(anAdapterIsLoadedAndTheLeastRecentlyUsedOneIsEvicted)
{
    addLoaded("a", { "x" });
    addWaiting(target("a", "y"));
    BOOST_TEST((decide().order == Order { OrderKind::Load, target("a", "y") }));
    report.held.front().adapters.emplace_back("z");
    demandFor(target("a", "x")).inFlight = 1;
    BOOST_TEST((decide().order == Order { OrderKind::Unload, target("a", "z") }));
    demandFor(target("a", "z")).inFlight = 1;
    BOOST_TEST(!decide().order);
}

BOOST_AUTO_TEST_CASE(loadingAdaptersOccupySlots)
{
    addLoaded("a", { "x" });
    report.loadingAdapters.push_back(target("a", "z"));
    addWaiting(target("a", "y"));
    demandFor(target("a", "x")).inFlight = 1;
    BOOST_TEST(!decide().order);
}

// Prevents loads beyond the engine's capacity: the adapters weren't counted, and the engine crashed with all requests
// that ran on it.
BOOST_AUTO_TEST_CASE(noLoadExceedsTheCapacity)
{
    profile.weights = MegaBytes(140100);
    addLoaded("b", { "x" });
    report.loadingAdapters.push_back(target("b", "y"));
    demandFor(target("b")).work = 0.9;
    addWaiting(target("a"));
    BOOST_TEST(!decideLater().order);
    report.loadingAdapters.clear();
    BOOST_TEST((decide().order == loadA));
}

BOOST_AUTO_TEST_CASE(demandThatARouterWithdrawsIsRemoved)
{
    DemandTable table;
    TargetDemand one;
    one.target = target("a");
    one.waiting = 2;
    one.earliest = Deadline::after(now, Milliseconds(1000));
    TargetDemand other = one;
    other.waiting = 1;
    other.earliest = Deadline::after(now, Milliseconds(3000));
    table.set(framework::VmName("r1"), { one }, now);
    table.set(framework::VmName("r2"), { other }, now);
    table.set(framework::VmName("r1"), {}, now);
    BOOST_TEST(table.merged().at(target("a")).waiting == 1u);
    BOOST_TEST((table.merged().at(target("a")).earliest == other.earliest));
    table.forget(framework::VmName("r2"));
    BOOST_TEST(table.merged().empty());
    BOOST_TEST(table.routers() == 1u);
}

BOOST_AUTO_TEST_CASE(demandOfSeveralRoutersIsAddedUp)
{
    DemandTable table;
    TargetDemand one;
    one.target = target("a");
    one.waiting = 2;
    one.inFlight = 1;
    one.work = 0.1;
    one.holders = 2;
    one.earliest = Deadline::after(now, Milliseconds(3000));
    TargetDemand other = one;
    other.earliest = Deadline::after(now, Milliseconds(1000));
    other.isPrefetch = true;
    table.set(framework::VmName("r1"), { one }, now);
    table.set(framework::VmName("r2"), { other }, now);
    const TargetDemand merged = table.merged().at(target("a"));
    BOOST_TEST(merged.waiting == 4U);
    BOOST_TEST(merged.inFlight == 2U);
    BOOST_TEST(merged.work == 0.2, boost::test_tools::tolerance(0.001));
    BOOST_TEST(merged.holders == 2U);
    BOOST_TEST((merged.earliest == other.earliest));
    BOOST_TEST(merged.isPrefetch);
    table.forgetSilentRouters(now + Milliseconds(3400));
    BOOST_TEST(table.routers() == 2U);
    table.forgetSilentRouters(now + Milliseconds(3600));
    BOOST_TEST(table.routers() == 0U);
}

// Prevents a forecast that ignores observed drain times: two streams of a model that was to be evicted ran for another
// three seconds. The forecast for the next model stayed at half a second, so its callers waited and disconnected before
// it was loaded.
BOOST_AUTO_TEST_CASE(expectedDrainTimesFollowObservedOnes)
{
    addLoaded("a");
    addLoaded("b");
    demandFor(target("a")).inFlight = demandFor(target("b")).inFlight = 1;
    addWaiting(target("c"));
    const auto expected = [this] { return decide().expected.at(0).within; };
    (void)decideLater();
    const Milliseconds first = expected();
    for (int drain = 0; drain < 20; ++drain) {
        now += Milliseconds(3000);
        demandFor(target("a")).inFlight = demandFor(target("b")).inFlight = 0;
        (void)decide();
        demandFor(target("a")).inFlight = demandFor(target("b")).inFlight = 1;
        (void)decide();
    }
    BOOST_TEST((expected() - first).count() > 1500);
    BOOST_TEST((expected() - first).count() < 2600);
}

// Prevents routers from waiting for an engine with a long drain: one stream of six seconds kept it from loading a model
// for which eight callers waited. It kept forecasting another second and a half while its neighbours had free memory.
BOOST_AUTO_TEST_CASE(aLongDrainIsExpectedToTakeAsLongAgain)
{
    addLoaded("a");
    addLoaded("b");
    demandFor(target("a")).inFlight = demandFor(target("b")).inFlight = 1;
    addWaiting(target("c"));
    const Milliseconds first = decideLater().expected.at(0).within;
    now += Milliseconds(4000);
    const Milliseconds second = decide().expected.at(0).within;
    BOOST_TEST((second - first).count() >= 3000);
    BOOST_TEST((second - first).count() <= 4000);
}

// Prevents requests from being sent to a model that is being unloaded: when the unload was ordered the agent stopped
// publishing the model as draining, though the engine still listed it. A waiting request was sent there and refused.
BOOST_AUTO_TEST_CASE(aModelIsDrainingUntilItsUnloadHasEnded)
{
    addLoaded("a");
    addLoaded("b");
    addWaiting(target("c"));
    const PlacementDecision decision = decideLater();
    BOOST_REQUIRE(decision.order.has_value());
    BOOST_REQUIRE((decision.order->kind == OrderKind::Unload));
    const ModelName unloading = decision.order->target.model;
    planner.didOrder(*decision.order, { profile, report, demand, now });
    report.isBusy = true;
    BOOST_TEST((decide().draining == std::vector<ModelName> { unloading }));
    report.isBusy = false;
    std::erase_if(report.held, [&](const catalog::LoadedModel& held) { return held.model == unloading; });
    BOOST_TEST(decide().draining.empty());
}

// Prevents long drains in a burst, when all models of an engine are in use: the model with the least work was evicted,
// and five streams of it ran for another four seconds, while the only stream of the other model ended after one second.
BOOST_AUTO_TEST_CASE(theModelWithTheFewestRequestsIsEvicted)
{
    addLoaded("a");
    addLoaded("b");
    demandFor(target("a")).inFlight = 5;
    demandFor(target("a")).work = 0.05;
    demandFor(target("b")).inFlight = 1;
    demandFor(target("b")).work = 0.06;
    addWaiting(target("c"));
    BOOST_TEST((decideLater().draining == std::vector<ModelName> { ModelName("b") }));
}

// Prevents refusals while a copy of an overloaded model is delayed: only one engine had the model, with a queue of two
// seconds. The engine that was to load a copy had only models in use and other loads that single callers waited for, so
// the copy took seven seconds.
BOOST_AUTO_TEST_CASE(aCopyOfAnOverloadedModelIsLoadedFirst)
{
    addLoaded("a");
    addLoaded("b");
    demandFor(target("a")).inFlight = demandFor(target("b")).inFlight = 1;
    addWaiting(target("c"));
    TargetDemand& copy = demandFor(target("d"));
    copy.isCopy = true;
    copy.work = 1.5;
    const PlacementDecision decision = decideLater();
    BOOST_REQUIRE(decision.draining.size() == 1u);
    BOOST_TEST((decision.expected.front().model == ModelName("d")));
}

BOOST_AUTO_TEST_CASE(aCopyForRedundancyEvictsNoModelInUse)
{
    addLoaded("a");
    addLoaded("b");
    demandFor(target("a")).inFlight = demandFor(target("b")).inFlight = 1;
    TargetDemand& copy = demandFor(target("d"));
    copy.isCopy = true;
    copy.work = 0.4;
    const PlacementDecision decision = decideLater();
    BOOST_TEST(decision.draining.empty());
    BOOST_TEST(!decision.order);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::engines
