#include "quotas/tests/quotafleet.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::quotas {

namespace {

using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;

} // namespace

BOOST_AUTO_TEST_SUITE(QuotasThroughFailures)

/// Guards against a second allowance while routers go from a keeper whose process has ended to the next.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenTheKeeperEnds)
{
    QuotaFleet fleet(24);
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    const SteadyTime endedAt = fleet.control.now();
    fleet.stopAgent(keeperOfOne());
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
    BOOST_TEST(fleet.used(endedAt) >= minUsable * fleet.perSecond * 10);
}

/// Guards against a keeper that stands still: requests that wait for its answer are lost to their callers, and it
/// must not grant beside its successor when it wakes.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenTheKeeperStandsStillAndWakes)
{
    QuotaFleet fleet(24);
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    const SteadyTime frozenAt = fleet.control.now();
    fleet.frozen.insert(keeperOfOne());
    fleet.run(Milliseconds(6000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.used(frozenAt) >= 0.8 * fleet.perSecond * 6);
    fleet.frozen.clear();
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against routers that are cut off from the keeper and use another one beside it.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileRoutersAreCutOffFromTheirKeeper)
{
    QuotaFleet fleet(24);
    fleet.run(Milliseconds(5000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    for (std::size_t index = 0; index < 8; ++index)
        fleet.cut(index, keeperOfOne());
    fleet.run(Milliseconds(30000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
    for (std::size_t index = 0; index < 8; ++index)
        fleet.heal(index, keeperOfOne());
    fleet.run(Milliseconds(15000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents the keeper that a router leaves and the one that it turns to from both granting its part for so long that it
// shows in a shorter window.
BOOST_AUTO_TEST_CASE(theQuotaHoldsInHalfAWindowWhileARouterChangesItsKeeper)
{
    constexpr Milliseconds halfWindow { 4000 };
    for (int moment = 0; moment < 20; ++moment) {
        QuotaFleet fleet(3);
        fleet.flood(Milliseconds(5000 + 137 * moment));
        fleet.cut(0, keeperOfOne());
        fleet.flood(Milliseconds(8000));
        const double allowed = (fleet.perSecond * 4 + fleet.burst) * excess;
        BOOST_TEST(fleet.mostInWindow("one", halfWindow) <= allowed);
    }
}

/// Guards against routers without any keeper that go on without a limit, and against keepers that forget about them.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileRoutersAreCutOffFromAllKeepers)
{
    QuotaFleet fleet(24);
    fleet.run(Milliseconds(5000), Milliseconds(25), 1000, [&] { return fleet.anyRouter(); });
    for (std::size_t index = 0; index < 12; ++index) {
        for (const Endpoint& keeper : keepers)
            fleet.cut(index, keeper);
    }
    const SteadyTime cutAt = fleet.control.now();
    fleet.run(Milliseconds(40000), Milliseconds(10), 1000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
    BOOST_TEST(fleet.used(cutAt) >= 0.9 * fleet.perSecond * 40);
    fleet.run(Milliseconds(60000), Milliseconds(10), 1000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against a second burst at a keeper that others stood in for.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenRoutersReturnToTheirKeeper)
{
    QuotaFleet fleet(24);
    fleet.burst = 4 * fleet.perSecond;
    fleet.flood(Milliseconds(2000));
    fleet.frozen.insert(keeperOfOne());
    fleet.flood(Milliseconds(2000));
    fleet.control.advance(Milliseconds(30000));
    fleet.flood(Milliseconds(3000));
    fleet.frozen.clear();
    fleet.flood(Milliseconds(10000));
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against keepers that each begin with much of a burst that the one before has just granted.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenTheKeeperOfALargeBurstEnds)
{
    QuotaFleet fleet(24);
    fleet.burst = 10 * fleet.perSecond;
    fleet.flood(Milliseconds(500));
    fleet.control.advance(Milliseconds(30000));
    fleet.run(Milliseconds(3000), Milliseconds(5), 3000, [&] { return fleet.anyRouter(); });
    fleet.stopAgent(keeperOfOne());
    fleet.flood(Milliseconds(10000));
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against agents that have just started and take the few routers they have heard for all.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileRoutersComeBackToRestartedKeepers)
{
    QuotaFleet fleet(24);
    fleet.flood(Milliseconds(10000));
    for (const Endpoint& keeper : keepers)
        fleet.stopAgent(keeper);
    for (const Endpoint& keeper : keepers)
        fleet.startAgent(keeper);
    for (const auto& exchange : fleet.exchanges)
        exchange->setRouters(24);
    fleet.control.advance(Milliseconds(500));
    for (std::size_t index = 0; index < fleet.exchanges.size(); ++index) {
        fleet.exchanges[index]->setRouters(8);
        fleet.exchanges[index]->didOpen(keepers[index % keepers.size()]);
    }
    fleet.flood(Milliseconds(3000));
    for (const auto& exchange : fleet.exchanges) {
        exchange->setRouters(24);
        for (const Endpoint& keeper : keepers)
            exchange->didOpen(keeper);
    }
    fleet.flood(Milliseconds(8000));
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against a keeper that counts routers whose list no longer has it.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileTheListOfKeepersChanges)
{
    QuotaFleet fleet(24);
    fleet.burst = fleet.perSecond / 10;
    fleet.flood(Milliseconds(10000));
    const SteadyTime from = fleet.control.now();
    std::set<Endpoint> others(keepers.begin(), keepers.end());
    others.erase(keeperOfOne());
    // Routers learn of the change at different times, and all keep their links to the agent. Most requests come to the
    // first and the last one.
    const auto firstOrLast = [&] { return fleet.random() % 2 == 0 ? 0 : fleet.exchanges.size() - 1; };
    for (const auto& exchange : fleet.exchanges) {
        exchange->setKeepers(others);
        fleet.run(Milliseconds(150), Milliseconds(10), 1000, firstOrLast);
    }
    const auto passed = std::chrono::duration<double>(fleet.control.now() - from).count();
    BOOST_TEST(fleet.used(from) <= (fleet.perSecond * passed + fleet.burst) * excess);
}

/// Guards against own shares that fill up while the router has keepers.
BOOST_AUTO_TEST_CASE(ownSharesBeginAnewWithEachCut)
{
    QuotaFleet fleet(24);
    fleet.burst = 4 * fleet.perSecond;
    fleet.flood(Milliseconds(2000));
    const auto cutAll = [&] {
        for (std::size_t index = 0; index < fleet.exchanges.size(); ++index) {
            for (const Endpoint& keeper : keepers)
                fleet.cut(index, keeper);
        }
    };
    cutAll();
    fleet.run(Milliseconds(8000), Milliseconds(8), 1000, [&] { return fleet.anyRouter(); });
    for (std::size_t index = 0; index < fleet.exchanges.size(); ++index) {
        for (const Endpoint& keeper : keepers)
            fleet.heal(index, keeper);
    }
    fleet.control.advance(Milliseconds(30000));
    fleet.flood(Milliseconds(3000));
    cutAll();
    fleet.run(Milliseconds(10000), Milliseconds(4), 1000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents each agent that comes in place of another one from granting a part of the burst and of the tolerance anew.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenKeepersEndOneAfterTheOther)
{
    QuotaFleet fleet(6, 30000);
    for (int round = 0; round < 12; ++round) {
        fleet.run(Milliseconds(1000), Milliseconds(2), 240, [&] { return fleet.anyRouter(); });
        const Endpoint& keeper = keepers[static_cast<std::size_t>(round) % keepers.size()];
        fleet.stopAgent(keeper);
        fleet.run(Milliseconds(200), Milliseconds(2), 240, [&] { return fleet.anyRouter(); });
        fleet.startAgent(keeper);
        for (const auto& exchange : fleet.exchanges)
            exchange->didOpen(keeper);
    }
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents quotas from being exceeded by what keepers that end many times within one window grant anew.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenKeepersEndManyTimesInAWindow)
{
    QuotaFleet fleet(3, 12);
    fleet.perSecond = 8;
    fleet.burst = 8;
    fleet.flood(Milliseconds(12000), 1);
    const SteadyTime from = fleet.control.now();
    for (int round = 0; round < 20; ++round) {
        fleet.stopAgent(keeperOfOne());
        fleet.flood(Milliseconds(200), 1);
        fleet.startAgent(keeperOfOne());
        for (const auto& exchange : fleet.exchanges)
            exchange->didOpen(keeperOfOne());
        fleet.flood(Milliseconds(600), 1);
    }
    const double passed = std::chrono::duration<double>(fleet.control.now() - from).count();
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
    BOOST_TEST(fleet.used(from) >= minUsable * fleet.perSecond * passed);
}

// Prevents what another keeper granted from being forgotten because a router's messages are delayed differently.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenRoutersComeAndGoWithVaryingDelays)
{
    QuotaFleet fleet(6);
    fleet.jitter = 8;
    fleet.burst = 4 * fleet.perSecond;
    fleet.flood(Milliseconds(12000));
    for (int round = 0; round < 12; ++round) {
        fleet.frozen.insert(keeperOfOne());
        fleet.flood(Milliseconds(1200));
        fleet.frozen.clear();
        fleet.flood(Milliseconds(300));
    }
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents a large burst that was just used from being granted again when all keepers and routers restart.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenAllProcessesRestart)
{
    QuotaFleet fleet(6);
    fleet.burst = 10 * fleet.perSecond;
    fleet.control.advance(RecentUse::retention);
    fleet.run(Milliseconds(3000), Milliseconds(5), 3000, [&] { return fleet.anyRouter(); });
    for (const Endpoint& keeper : keepers)
        fleet.stopAgent(keeper);
    for (const Endpoint& keeper : keepers)
        fleet.startAgent(keeper);
    for (std::size_t index = 0; index < fleet.exchanges.size(); ++index)
        fleet.restartRouter(index);
    fleet.flood(Milliseconds(10000));
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents a customer that asks for little from being refused because a keeper that takes over doesn't know how little.
BOOST_AUTO_TEST_CASE(aKeeperThatTakesOverGrantsTheBurstThatIsLeft)
{
    QuotaFleet fleet(24);
    fleet.control.advance(RecentUse::retention);
    fleet.ask(0, 3000);
    fleet.control.advance(Milliseconds(100));
    fleet.stopAgent(keeperOfOne());
    fleet.control.advance(Milliseconds(100));
    for (int request = 0; request < 9; ++request)
        fleet.ask(fleet.anyRouter(), 3000);
    fleet.control.advance(Milliseconds(100));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 10U);
}

// Prevents a router that restarts beside its keeper from making the customer's uses forgotten.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileRoutersRestart)
{
    QuotaFleet fleet(3);
    fleet.flood(Milliseconds(12000));
    for (int round = 0; round < 20; ++round) {
        fleet.restartRouter(static_cast<std::size_t>(round) % fleet.exchanges.size());
        fleet.flood(Milliseconds(700));
    }
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents a grant from being forgotten that arrives after its router has told another keeper what it used.
BOOST_AUTO_TEST_CASE(aLateGrantIsChargedAtThePresentKeeper)
{
    QuotaFleet fleet(2);
    const Endpoint& preferred = keeperOfOne();
    for (std::size_t index = 0; index < fleet.exchanges.size(); ++index) {
        fleet.exchanges[index]->didClose(preferred);
        fleet.agents[preferred]->didClose(QuotaFleet::nameOf(index));
    }
    fleet.control.advance(RecentUse::retention);
    fleet.ask(0, 25000);
    fleet.control.advance(Milliseconds(1));
    for (const auto& exchange : fleet.exchanges)
        exchange->didOpen(preferred);
    fleet.control.advance(Milliseconds(100));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 1U);
    fleet.ask(0, 25000);
    fleet.control.advance(Milliseconds(100));
    BOOST_TEST(fleet.outcomes[DrawOutcome::OverQuota] == 1U);
}

// Prevents a router from keeping a grant to itself that a former keeper made after the present one was told its uses.
BOOST_AUTO_TEST_CASE(aLateGrantIsToldToThePresentKeeper)
{
    constexpr double cost = 25000;
    framework::ManualControl control;
    framework::Metrics metrics;
    std::map<Endpoint, double> charged;
    QuotaExchange exchange({ control, control, metrics, framework::VmName("router"),
        [&](const Endpoint& keeper, const wire::Message& message) {
            for (const auto& draw : message.body.AsCustomerQuotas()->charged)
                charged[keeper] += draw->cost;
        } });
    exchange.setKeepers({ keepers.begin(), keepers.end() });
    const Endpoint present = keeperOfOne();
    const Endpoint former = keepers.front() == present ? keepers.back() : keepers.front();
    exchange.didOpen(former);
    QuotaDraw draw;
    draw.customer = catalog::CustomerName("one");
    draw.cost = cost;
    draw.neededBy = framework::Deadline::after(control.now(), Milliseconds(1000));
    std::size_t granted = 0;
    exchange.draw(
        DrawNumber(1), draw, [&](const DrawReply& reply) { granted += reply.outcome == DrawOutcome::Granted ? 1 : 0; });
    control.runPosted();
    exchange.didOpen(present);
    control.runPosted();
    QuotaUpdate grant;
    grant.answered.push_back({ DrawNumber(1), true });
    exchange.receive(former, *toWire(grant).body.AsCustomerQuotas());
    control.runPosted();
    BOOST_TEST(granted == 1U);
    BOOST_TEST(charged[present] == cost);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::quotas
