#include "quotas/tests/quotafleet.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace lagoon::quotas {

namespace {

using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;
using framework::VmName;

} // namespace

BOOST_AUTO_TEST_SUITE(QuotasOverAllRouters)

/// Answers the load of one customer that sends several times what it may, at routers of very different traffic.
BOOST_AUTO_TEST_CASE(theQuotaHoldsAndIsUsableHoweverUnevenlyRequestsCome)
{
    for (const std::size_t routers : { 6, 370 }) {
        QuotaFleet fleet(routers);
        const SteadyTime from = fleet.control.now();
        fleet.run(Milliseconds(30000), Milliseconds(25), 3000,
            [&] { return fleet.random() % 3 == 0 ? fleet.anyRouter() : std::size_t(0); });
        BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
        BOOST_TEST(fleet.used(from) >= minUsable * fleet.perSecond * 30);
        BOOST_TEST(fleet.outcomes[DrawOutcome::Undecided] == 0U);
    }
}

BOOST_AUTO_TEST_CASE(aCustomerBelowItsQuotaIsNeverDenied)
{
    QuotaFleet fleet(24);
    // Three requests a second may come; two do, beside another customer's flood.
    for (int second = 0; second < 20; ++second) {
        fleet.ask(fleet.anyRouter(), 9000, "small");
        fleet.run(
            Milliseconds(500), Milliseconds(20), 9000, [&] { return fleet.anyRouter(); }, "flood");
        fleet.ask(fleet.anyRouter(), 9000, "small");
        fleet.run(
            Milliseconds(500), Milliseconds(20), 9000, [&] { return fleet.anyRouter(); }, "flood");
    }
    BOOST_TEST(fleet.used({}, "small") == 40 * 9000.0);
    BOOST_TEST(fleet.mostInWindow("flood") <= fleet.bound());
}

/// Guards against callers that are told that their customer is over its quota because the router is cut off from the
/// keeper of nearly all of it.
BOOST_AUTO_TEST_CASE(aPartOfTheQuotaDeniesNobodyForTheWhole)
{
    QuotaFleet fleet(24);
    fleet.cut(0, keeperOfOne());
    fleet.control.advance(Milliseconds(5000));
    for (int round = 0; round < 10; ++round) {
        fleet.ask(0, 9000);
        fleet.control.advance(Milliseconds(1000));
    }
    BOOST_TEST(fleet.outcomes[DrawOutcome::OverQuota] == 0U);
    BOOST_TEST(fleet.outcomes[DrawOutcome::Undecided] == 10U);
}

/// Guards against a metric for each of thousands of customers.
BOOST_AUTO_TEST_CASE(drawsAreCountedByABoundedNumberOfCustomers)
{
    QuotaFleet fleet(1);
    for (int customer = 0; customer < 1000; ++customer)
        fleet.ask(0, 1, "c" + std::to_string(customer));
    fleet.control.advance(Milliseconds(100));
    const std::string text = fleet.metrics.text();
    std::size_t lines = 0;
    for (auto at = text.find("lagoon_customer_draws_total{"); at != std::string::npos;
         at = text.find("lagoon_customer_draws_total{", at + 1))
        ++lines;
    BOOST_TEST(lines == 65U);
    BOOST_TEST(text.find("customer=\"other\"") != std::string::npos);
}

// Prevents a request far below the quota from being refused because another agent becomes its keeper before the draw
// is sent.
BOOST_AUTO_TEST_CASE(aDrawIsNotDeniedBecauseItsKeeperChanges)
{
    QuotaFleet fleet(2);
    fleet.exchanges[0]->didClose(keeperOfOne());
    fleet.ask(0, 1);
    fleet.exchanges[0]->didOpen(keeperOfOne());
    fleet.control.advance(Milliseconds(500));
    BOOST_TEST(fleet.outcomes[DrawOutcome::OverQuota] == 0U);
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 1U);
}

BOOST_AUTO_TEST_CASE(aRouterThatNeverHadAKeeperDecidesNothing)
{
    QuotaFleet fleet(2);
    QuotaExchange alone(
        { fleet.control, fleet.control, fleet.metrics, VmName("new"), [](const Endpoint&, const wire::Message&) {} });
    alone.setKeepers({ keepers.begin(), keepers.end() });
    std::optional<DrawReply> got;
    alone.draw(DrawNumber(1), fleet.drawOf("one", 1), [&](const DrawReply& reply) { got = reply; });
    fleet.control.advance(Milliseconds(500));
    BOOST_TEST(!got.has_value());
    fleet.control.advance(Milliseconds(500));
    BOOST_REQUIRE(got.has_value());
    const bool isUndecided = got->outcome == DrawOutcome::Undecided;
    BOOST_TEST(isUndecided);
}

/// Guards against customers below their quotas that are refused because all processes are slow for a moment.
BOOST_AUTO_TEST_CASE(aDrawWaitsForKeepersThatAreSlow)
{
    QuotaFleet fleet(6);
    fleet.frozen.insert(keepers.begin(), keepers.end());
    fleet.ask(0, 1000);
    fleet.control.advance(Milliseconds(800));
    fleet.frozen.clear();
    fleet.control.advance(Milliseconds(1000));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 1U);
}

// Prevents a customer below its quota from being refused although its caller has time until the keepers answer again.
BOOST_AUTO_TEST_CASE(aDrawWaitsForSlowKeepersAsLongAsItsCallerCan)
{
    QuotaFleet fleet(6);
    fleet.neededWithin = Milliseconds(8000);
    fleet.frozen.insert(keepers.begin(), keepers.end());
    fleet.ask(0, 1000);
    fleet.control.advance(Milliseconds(3000));
    fleet.frozen.clear();
    fleet.control.advance(Milliseconds(1000));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 1U);
    fleet.frozen.insert(keepers.begin(), keepers.end());
    fleet.ask(0, 1000);
    fleet.control.advance(Milliseconds(4500));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Undecided] == 1U);
}

BOOST_AUTO_TEST_CASE(aNewVersionOfTheQuotaCountsOnceAnyRouterKnowsIt)
{
    QuotaFleet fleet(6);
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    fleet.perSecond = 6000;
    fleet.burst = 6000;
    fleet.version = 2;
    const SteadyTime from = fleet.control.now();
    fleet.run(Milliseconds(20000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.used(from) <= 6000 * 20 + 6000 + 3000);
    BOOST_TEST(fleet.used(from) >= minUsable * 6000 * 20);
}

/// Guards against a customer that pays for requests that were refused for another reason.
BOOST_AUTO_TEST_CASE(whatHasNotRunIsGivenBack)
{
    QuotaFleet fleet(6);
    const std::size_t rounds = 200;
    std::size_t granted = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const std::size_t index = fleet.anyRouter();
        const DrawNumber number(1000000 + round);
        fleet.exchanges[index]->draw(number, fleet.drawOf("one", 3000),
            [&](const DrawReply& reply) { granted += reply.outcome == DrawOutcome::Granted ? 1 : 0; });
        fleet.control.advance(Milliseconds(10));
        fleet.exchanges[index]->giveBack(fleet.drawOf("one", 3000));
        fleet.control.advance(Milliseconds(10));
    }
    BOOST_TEST(granted == rounds);
}

/// Guards against a draw that stays used although its caller left before the answer came.
BOOST_AUTO_TEST_CASE(aWithdrawnDrawIsGivenBack)
{
    QuotaFleet fleet(6);
    for (int round = 0; round < 200; ++round) {
        const std::size_t index = fleet.anyRouter();
        const DrawNumber number = fleet.ask(index, 3000);
        fleet.exchanges[index]->withdraw(number);
        fleet.control.advance(Milliseconds(20));
    }
    BOOST_TEST(fleet.uses.empty());
    fleet.ask(0, 15000);
    fleet.control.advance(Milliseconds(20));
    BOOST_TEST(fleet.used({}) == 15000);
}

/// Guards against draws that nobody waits for and that go from keeper to keeper.
BOOST_AUTO_TEST_CASE(aWithdrawnDrawIsNotAskedAgain)
{
    QuotaFleet fleet(6);
    fleet.frozen.insert(keeperOfOne());
    fleet.exchanges[0]->withdraw(fleet.ask(0, 3000));
    fleet.control.advance(Milliseconds(2000));
    BOOST_TEST(fleet.draws == 1U);
}

/// Guards against lists of keepers that each router sends to each keeper all the time.
BOOST_AUTO_TEST_CASE(anUnchangedListOfKeepersIsNotSentAgain)
{
    QuotaFleet fleet(6);
    fleet.lists = 0;
    fleet.control.advance(Milliseconds(10000));
    BOOST_TEST(fleet.lists == 0U);
    fleet.ask(0, 3000);
    fleet.control.advance(Milliseconds(20));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 1U);
    fleet.stopAgent(keeperOfOne());
    fleet.control.advance(Milliseconds(1000));
    BOOST_TEST(fleet.lists == 6 * (keepers.size() - 1));
}

BOOST_AUTO_TEST_CASE(withoutQuotasNothingIsSent)
{
    QuotaFleet fleet(2);
    for (const auto& exchange : fleet.exchanges)
        exchange->setKeepers({});
    fleet.control.advance(Milliseconds(100));
    const std::uint64_t before = fleet.messages;
    fleet.control.advance(Milliseconds(10000));
    BOOST_TEST(fleet.messages == before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::quotas
