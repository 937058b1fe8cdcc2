#include "engines/tests/controllerfixture.h"

namespace lagoon::engines {

using namespace testing;

BOOST_FIXTURE_TEST_SUITE(EngineControllers, ControllerFixture)

BOOST_AUTO_TEST_CASE(aLoadOrderCarriesAllPreconditions)
{
    engine.state.orders = OrderCount(7);
    start();
    setWaitingRequest("a");
    BOOST_REQUIRE(engine.orders.size() == 1U);
    const OrderPreconditions& preconditions = engine.orders[0].second;
    BOOST_TEST(preconditions.fence.value() == 41U);
    BOOST_TEST(preconditions.expected.value() == 7U);
    BOOST_TEST(preconditions.instance.value() == "i-1");
    BOOST_TEST(preconditions.holder.value() == "vm");
}

// Prevents loads at an engine that has said that it ends soon, and requests that wait for them.
BOOST_AUTO_TEST_CASE(anEngineThatLeavesLoadsNothing)
{
    engine.state.held.push_back({ ModelName("b"), 1, {}, 0 });
    engine.notice.isLeaving = true;
    start();
    setWaitingRequest("a");
    advanceTime(Milliseconds(500));
    BOOST_TEST(engine.orders.empty());
    BOOST_REQUIRE(!published.empty());
    BOOST_TEST(published.back().isDraining(ModelName("b")));
    BOOST_REQUIRE(published.back().expected.size() == 1U);
    BOOST_TEST((published.back().expected[0].within == catalog::loadImpossible));
}

// Prevents reports and orders from reaching an engine that has asked for a rest.
BOOST_AUTO_TEST_CASE(anEngineThatRestsIsNotCalled)
{
    start();
    engine.isSilent = true;
    engine.notice.rest = Milliseconds(3000);
    advanceTime(Milliseconds(300));
    const int reports = engine.reports;
    engine.notice = {};
    engine.isSilent = false;
    setWaitingRequest("a");
    advanceTime(Milliseconds(2600));
    setWaitingRequest("a");
    BOOST_TEST(engine.reports == reports);
    BOOST_TEST(engine.orders.empty());
    advanceTime(Milliseconds(400));
    BOOST_TEST(engine.reports > reports);
    BOOST_TEST(engine.orders.size() == 1U);
}

// Prevents an engine's next run from being kept from loading for what the former one has said.
BOOST_AUTO_TEST_CASE(theNextRunOfAnEngineThatLeftLoadsAgain)
{
    engine.notice.isLeaving = true;
    start();
    setWaitingRequest("a");
    advanceTime(Milliseconds(300));
    engine.notice.isLeaving = false;
    engine.state.started = catalog::StartTime(200);
    advanceTime(Milliseconds(300));
    BOOST_TEST(engine.orders.size() == 1U);
}

// Prevents loads at an engine that leaves after a report that it sent before it began to leave.
BOOST_AUTO_TEST_CASE(anEngineThatLeavesDoesNotStayAfterAnOlderReport)
{
    engine.state.started = catalog::StartTime(100);
    engine.notice.isLeaving = true;
    start();
    engine.notice.isLeaving = false;
    setWaitingRequest("a");
    advanceTime(Milliseconds(500));
    BOOST_TEST(engine.orders.empty());
    engine.state.started = catalog::StartTime(200);
    advanceTime(Milliseconds(300));
    BOOST_TEST(engine.orders.size() == 1U);
}

BOOST_AUTO_TEST_CASE(noOrderIsGivenWithoutAFencingToken)
{
    fencingTokens.isUnavailable = true;
    start();
    setWaitingRequest("a");
    advanceTime(Milliseconds(3000));
    BOOST_TEST(engine.orders.empty());
    BOOST_TEST(fencingTokens.acquisitions >= 2);
    BOOST_TEST(fencingTokens.acquisitions <= 20);
    fencingTokens.isUnavailable = false;
    advanceTime(Milliseconds(2500));
    setWaitingRequest("a");
    advanceTime(Milliseconds(100));
    BOOST_TEST(engine.orders.size() == 1U);
}

BOOST_AUTO_TEST_CASE(onlyOneOrderIsGivenAtATime)
{
    start();
    setWaitingRequest("a");
    setWaitingRequest("b");
    advanceTime(Milliseconds(500));
    BOOST_TEST(engine.orders.size() == 1U);
}

// Prevents an order whose answer is lost from being carried out twice: the engine carried out the retried order and,
// ten seconds later and after newer ones, the first one too, and crashed for lack of memory.
BOOST_AUTO_TEST_CASE(anOrderWithoutAnswerIsRetriedWithTheSameCount)
{
    engine.state.orders = OrderCount(3);
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::Unknown);
    advanceTime(Milliseconds(200));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.expected.value() == 3U);
}

BOOST_AUTO_TEST_CASE(anOrderWithoutAnswerThatWasCarriedOutIsNotRetried)
{
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::Unknown);
    engine.state.orders = OrderCount(1);
    engine.state.isBusy = true;
    advanceTime(Milliseconds(500));
    BOOST_TEST(engine.orders.size() == 1U);
}

// Prevents endless refusals after another agent has taken over the engine for a time: an agent that goes on with its
// old fencing token has each order refused.
BOOST_AUTO_TEST_CASE(aFencedAgentAcquiresANewTokenBeforeItOrdersAgain)
{
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::Fenced);
    advanceTime(Milliseconds(100));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.fence.value() == 42U);
}

// Prevents repeated orders to a former instance: after a power loss the list named it for another two seconds, and the
// agent gave 100 orders that the new instance refused.
BOOST_AUTO_TEST_CASE(aRejectedInstanceIsNotTriedAgain)
{
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::OtherInstance);
    setWaitingRequest("a");
    advanceTime(Milliseconds(1000));
    BOOST_TEST(engine.orders.size() == 1U);
    setWaitingRequest("a", "i-2");
    advanceTime(Milliseconds(100));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.instance.value() == "i-2");
}

BOOST_AUTO_TEST_CASE(theNewInstanceIsTakenFromTheRejection)
{
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::OtherInstance, "i-9");
    setWaitingRequest("a");
    advanceTime(Milliseconds(100));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.instance.value() == "i-9");
}

BOOST_AUTO_TEST_CASE(aStaleReportTriggersNoOrder)
{
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::Accepted);
    advanceTime(Milliseconds(10));
    engine.state.orders = OrderCount(1);
    engine.state.held.push_back({ ModelName("a"), 1, {}, 0 });
    advanceTime(Milliseconds(100));
    engine.state.held.clear();
    engine.state.orders = OrderCount(0);
    advanceTime(Milliseconds(300));
    BOOST_TEST(engine.orders.size() <= 2U);
}

// Prevents a restart under the same ID from being mistaken for a stale report: an engine crashed during a load and
// restarted with an order count of 0, and for 0.7 s the empty engine got no orders.
BOOST_AUTO_TEST_CASE(aRestartUnderTheSameIdIsHandledAtOnce)
{
    engine.state.started = catalog::StartTime(100);
    engine.state.orders = OrderCount(7);
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::Accepted);
    engine.state.orders = OrderCount(8);
    engine.state.isBusy = true;
    advanceTime(Milliseconds(100));
    BOOST_TEST(published.back().loading.value() == "a");
    engine.state = {};
    engine.state.started = catalog::StartTime(200);
    advanceTime(Milliseconds(100));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.expected.value() == 0U);
    BOOST_TEST(published.back().loading.value().empty());
    BOOST_TEST(fencingTokens.acquisitions == 1);
}

// Prevents a restart from going unnoticed if the engine had accepted no order before: both runs have the same order
// count, so only the start time differs.
BOOST_AUTO_TEST_CASE(aRestartIsPublishedAtOnce)
{
    engine.state.started = catalog::StartTime(100);
    start();
    BOOST_REQUIRE(!published.empty());
    BOOST_CHECK(published.back().started == catalog::StartTime(100));
    advanceTime(Milliseconds(1000));
    engine.state.started = catalog::StartTime(200);
    const std::size_t before = published.size();
    advanceTime(Milliseconds(210));
    BOOST_REQUIRE(published.size() > before);
    BOOST_CHECK(published[before].started == catalog::StartTime(200));
}

// Prevents a restarted engine from carrying out an order to its former run. The engine crashed before it answered,
// restarted under the same ID and loaded other models. Seconds later the old order arrived with a matching ID, fencing
// token and order count; the engine carried it out and crashed again for lack of memory.
BOOST_AUTO_TEST_CASE(anUnansweredOrderIsFencedAfterARestart)
{
    engine.state.started = catalog::StartTime(100);
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::Unknown);
    engine.state.started = catalog::StartTime(200);
    advanceTime(Milliseconds(200));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[0].second.fence.value() == 41U);
    BOOST_TEST(engine.orders[1].second.fence.value() == 42U);
}

// Prevents a needless store call at a restart long after an unanswered order, which can't arrive any more.
BOOST_AUTO_TEST_CASE(noTokenIsAcquiredLongAfterAnUnansweredOrder)
{
    engine.state.started = catalog::StartTime(100);
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::Unknown);
    engine.state.held.push_back({ ModelName("a"), 1, {}, 0 });
    advanceTime(Milliseconds(61000));
    engine.state.started = catalog::StartTime(200);
    advanceTime(Milliseconds(1000));
    BOOST_TEST(fencingTokens.acquisitions == 1);
}

BOOST_AUTO_TEST_CASE(changesArePublishedAtOnceAndOtherwiseEachSecond)
{
    start();
    advanceTime(Milliseconds(5000));
    const std::size_t regular = publications();
    BOOST_TEST(regular >= 5U);
    BOOST_TEST(regular <= 8U);
    engine.state.held.push_back({ ModelName("b"), 1, {}, 0 });
    advanceTime(Milliseconds(220));
    BOOST_TEST(published.back().find(ModelName("b")) != nullptr);
}

// Prevents control traffic at each request that grows with the number of models and cached weights.
BOOST_AUTO_TEST_CASE(aChangeOfLoadIsPublishedWithoutTheState)
{
    engine.state.held.push_back({ ModelName("b"), 1, {}, 0 });
    start();
    advanceTime(Milliseconds(2000));
    const std::size_t states = published.size();
    engine.state.running = 12;
    engine.state.usedMemory = catalog::Tokens(50000);
    advanceTime(Milliseconds(220));
    BOOST_TEST(published.size() == states);
    BOOST_REQUIRE(!publishedLoads.empty());
    BOOST_TEST(publishedLoads.back().running == 12u);
    BOOST_TEST(publishedLoads.back().usedMemory.value() == 50000u);
    BOOST_TEST(publishedLoads.back().held.size() == 1u);
}

// Prevents routers from sending streams for a second to an engine that has begun to read long prompts.
BOOST_AUTO_TEST_CASE(promptsThatMayDelayStreamsArePublishedAtOnce)
{
    start();
    advanceTime(Milliseconds(300));
    publishedLoads.clear();
    engine.state.streams = 3;
    engine.state.readingTokens = catalog::Tokens(15000);
    advanceTime(Milliseconds(220));
    BOOST_REQUIRE(!publishedLoads.empty());
    BOOST_TEST(publishedLoads.back().streams == 3u);
    BOOST_TEST(publishedLoads.back().readingTokens.value() == 15000u);
}

// Prevents processor time from being spent on polling during a load whose end is known.
BOOST_AUTO_TEST_CASE(aLongLoadIsPolledRarelyUntilItsEndIsNear)
{
    start();
    setWaitingRequest("a");
    engine.answer(OrderOutcome::Accepted);
    engine.state.isBusy = true;
    const int before = engine.reports;
    advanceTime(Milliseconds(4000));
    BOOST_TEST(engine.reports - before <= 25);
    advanceTime(Milliseconds(1900));
    const int nearEnd = engine.reports;
    advanceTime(Milliseconds(100));
    BOOST_TEST(engine.reports - nearEnd >= 3);
}

BOOST_AUTO_TEST_CASE(nothingIsPublishedForASilentEngine)
{
    start();
    advanceTime(Milliseconds(1000));
    engine.isSilent = true;
    const std::size_t before = publications();
    advanceTime(Milliseconds(5000));
    BOOST_TEST(publications() == before);
    BOOST_TEST(engine.reports < 60);
}

// Prevents a limit that the engine names in answers to requests alone from being taken for ended by its reports.
BOOST_AUTO_TEST_CASE(aReportEndsOnlyALimitThatReportsName)
{
    engine.state.started = catalog::StartTime(5);
    engine.state.held.push_back({ ModelName("a"), 1, {}, 0, 0 });
    start();
    setWaitingRequest("a");
    advanceTime(Milliseconds(1000));
    BOOST_TEST(limits.empty());
    engine.state.limit = { true, ratelimits::RequestRate(1.5) };
    advanceTime(Milliseconds(300));
    BOOST_REQUIRE(!limits.empty());
    BOOST_TEST(limits.back().limit->value() == 1.5);
    BOOST_TEST(limits.back().server.value() == "i-1@5");
    engine.state.limit = { true, std::nullopt };
    limits.clear();
    advanceTime(Milliseconds(300));
    BOOST_TEST(limits.empty());
    engine.state.limit = {};
    advanceTime(Milliseconds(1000));
    BOOST_REQUIRE(limits.size() == 1u);
    BOOST_TEST(!limits.back().limit);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::engines
