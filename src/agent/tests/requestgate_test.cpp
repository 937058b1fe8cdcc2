#include "agent/tests/gatefixture.h"
#include "policy/rendezvous.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::agent;
using namespace lagoon::agent::testing;

BOOST_FIXTURE_TEST_SUITE(RequestGates, GateFixture)

BOOST_AUTO_TEST_CASE(aCompleteAnswerIsSentWithItsChecksum)
{
    dispatch(1);
    BOOST_REQUIRE(upstream->calls.size() == 1u);
    BOOST_TEST(upstream->calls[0]->request.name.value() == "7-1");
    answerHead(0);
    answerBytes(0, "one ");
    answerBytes(0, "two");
    answerEnd(0);
    BOOST_TEST(link->bytes() == "one two");
    const auto ends = link->all<fb::AnswerEndT>();
    BOOST_REQUIRE(ends.size() == 1u);
    BOOST_TEST(ends[0].length == 7u);
    BOOST_TEST(ends[0].checksum == policy::fnv1a("one two", 7));
    BOOST_TEST(gate->isIdle());
    BOOST_TEST(targets.uses == 0);
}

// The link to the router goes silent during an answer, and the router resolves the id over a new link. The caller must
// get the rest of this answer, not a second run.
BOOST_AUTO_TEST_CASE(aRunningAnswerContinuesOverANewLink)
{
    dispatch(1);
    answerHead(0);
    answerBytes(0, "one ");
    answerBytes(0, "two ");
    auto second = std::make_shared<FakeLink>();
    resolve(second, 1, 4);
    answerBytes(0, "three");
    answerEnd(0);
    BOOST_TEST(second->all<fb::AnswerHeadT>().size() == 1u);
    BOOST_TEST(second->all<fb::AnswerChunkT>().front().offset == 4u);
    BOOST_TEST(second->bytes().substr(4) == "two three");
    BOOST_TEST(second->all<fb::AnswerEndT>().size() == 1u);
    BOOST_TEST(link->all<fb::AnswerEndT>().empty());
    BOOST_TEST(upstream->calls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(aCompleteAnswerIsResentOnResolve)
{
    dispatch(1);
    answerHead(0);
    answerBytes(0, "one two");
    answerEnd(0);
    auto second = std::make_shared<FakeLink>();
    resolve(second, 1, 0);
    BOOST_TEST(second->bytes() == "one two");
    BOOST_TEST(second->all<fb::AnswerEndT>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(anUnseenIdIsFencedByResolve)
{
    resolve(link, 1, 0);
    checkRefused(*link, ErrorCode::Fenced, Execution::NotRun);
    dispatch(1);
    BOOST_TEST(upstream->calls.empty());
}

BOOST_AUTO_TEST_CASE(aCancelledWaitingDispatchNeverRuns)
{
    dispatch(1);
    dispatch(2);
    BOOST_TEST(gate->waiting() == 1u);
    cancel(2);
    checkRefused(*link, ErrorCode::CallerGone, Execution::NotRun);
    answerHead(0);
    answerEnd(0);
    BOOST_TEST(upstream->calls.size() == 1u);
}

// A caller disconnects while its answer is generated. The engine must stop the work, so that its capacity is free for
// others.
BOOST_AUTO_TEST_CASE(aCancelledRunningDispatchIsStoppedAtTheUpstream)
{
    dispatch(1);
    dispatch(2);
    cancel(1);
    BOOST_TEST(upstream->calls[0]->isCancelled);
    checkRefused(*link, ErrorCode::CallerGone, Execution::Unknown);
    BOOST_TEST(upstream->calls.size() == 2u);
}

BOOST_AUTO_TEST_CASE(aFullQueueRefusesImmediately)
{
    dispatch(1);
    dispatch(2);
    dispatch(3);
    checkRefused(*link, ErrorCode::TooManyWaiting, Execution::NotRun);
    BOOST_TEST(targets.uses == 2);
}

// Prevents a queue that is longer than the deadlines: requests arrive faster than the upstream serves them, and if all
// waited, each would be started just before its caller gives up, so that past saturation hardly any is served in time.
// Requests that the queue can't serve in time must be refused immediately.
BOOST_AUTO_TEST_CASE(requestsThatTheQueueCannotServeInTimeAreRefusedImmediately)
{
    learnServiceTime();
    dispatch(2, 1000);
    dispatch(3, 1000);
    dispatch(4, 360);
    BOOST_TEST(link->all<fb::RefusedT>().empty());
    BOOST_TEST(gate->waiting() == 2u);
    dispatch(5, 240);
    checkRefused(*link, ErrorCode::DeadlineHopeless, Execution::NotRun);
    BOOST_TEST(link->all<fb::RefusedT>().front().retry_after_ms >= 1000u);
    BOOST_TEST(targets.uses == 3);
}

// The upstream has become so slow that its service time is longer than every deadline. If a slot is free, requests must
// still be tried; otherwise its recovery would never be noticed.
BOOST_AUTO_TEST_CASE(aFreeSlotIsAlwaysTried)
{
    learnServiceTime();
    dispatch(2, 80);
    BOOST_TEST(upstream->calls.size() == 2u);
    BOOST_TEST(link->all<fb::RefusedT>().empty());
}

// Requests of higher priority overtake a waiting request until it can't be served in time. Its router must receive "not
// run" while the caller still waits; after the deadline it could only report "unknown".
BOOST_AUTO_TEST_CASE(anOvertakenRequestIsRefusedBeforeItsDeadline)
{
    learnServiceTime();
    dispatch(2, 1000);
    dispatch(3, 400);
    for (std::uint64_t sequence = 4; sequence < 7; ++sequence)
        dispatch(sequence, 5000, 1, 9);
    // The refusal is due before the deadline by 116 ms, the upper estimate of the service time, and 50 ms for delivery.
    control.advance(Milliseconds(233));
    BOOST_TEST(link->all<fb::RefusedT>().empty());
    control.advance(Milliseconds(1));
    checkRefused(*link, ErrorCode::DeadlineHopeless, Execution::NotRun);
    BOOST_TEST(gate->waiting() == 3u);
}

// A burst on a newly loaded model fills the queue before it is known how long a request takes. Once the first request
// has ended, requests that can't be served in time must be refused; otherwise they would wait in vain until their
// deadlines.
BOOST_AUTO_TEST_CASE(theFirstMeasurementRefusesHopelessRequests)
{
    limits.waiting = 100;
    gate = makeGate();
    session = gate->openSession(router);
    dispatch(1, 5000);
    for (std::uint64_t sequence = 2; sequence < 8; ++sequence)
        dispatch(sequence, 500);
    control.advance(Milliseconds(100));
    BOOST_TEST(link->all<fb::RefusedT>().empty());
    answerHead(0);
    answerEnd(0);
    const std::size_t refused = link->all<fb::RefusedT>().size();
    BOOST_TEST(refused > 0u);
    BOOST_TEST(refused < 6u);
    BOOST_TEST(gate->running() == 1u);
    BOOST_TEST(gate->waiting() + gate->running() + refused == 6u);
}

BOOST_AUTO_TEST_CASE(aDeadlineThatPassesInTheQueueIsReportedAsNotRun)
{
    dispatch(1, 5000);
    dispatch(2, 100);
    control.advance(Milliseconds(100));
    checkRefused(*link, ErrorCode::DeadlinePassed, Execution::NotRun);
    BOOST_TEST(upstream->calls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(aDeadlineThatPassesAtTheUpstreamIsReportedAsUnknown)
{
    dispatch(1, 100);
    control.advance(Milliseconds(100));
    BOOST_TEST(upstream->calls[0]->isCancelled);
    checkRefused(*link, ErrorCode::DeadlinePassed, Execution::Unknown);
}

BOOST_AUTO_TEST_CASE(aTargetThatIsNotLoadedIsReportedAsNotRun)
{
    targets.refusal = Error { ErrorCode::NotLoaded, "load", "a" };
    dispatch(1);
    checkRefused(*link, ErrorCode::NotLoaded, Execution::NotRun);
    BOOST_TEST(upstream->calls.empty());
    auto second = std::make_shared<FakeLink>();
    resolve(second, 1, 0);
    checkRefused(*second, ErrorCode::NotLoaded, Execution::NotRun);
}

BOOST_AUTO_TEST_CASE(notFoundFromTheEngineIsReportedAsNotLoaded)
{
    dispatch(1);
    answerHead(0, 404);
    checkRefused(*link, ErrorCode::NotLoaded, Execution::NotRun);
    BOOST_TEST(link->all<fb::AnswerHeadT>().empty());
}

// An upstream closes the connection after it has received the request. It may have run the request, which therefore
// must not be reported as "not run".
BOOST_AUTO_TEST_CASE(aBrokenUpstreamConnectionIsReportedAsUnknown)
{
    dispatch(1);
    answerHead(0);
    answerBytes(0, "half");
    upstream->calls[0]->events.onFailed(Error { ErrorCode::UpstreamBroken, "read answer", "", "", Execution::Unknown });
    control.runPosted();
    checkRefused(*link, ErrorCode::UpstreamBroken, Execution::Unknown);
    BOOST_TEST(link->all<fb::AnswerEndT>().empty());
}

BOOST_AUTO_TEST_CASE(anAnswerThatIsTooLongIsAborted)
{
    dispatch(1);
    answerHead(0);
    answerBytes(0, std::string(60, 'x'));
    answerBytes(0, std::string(60, 'x'));
    checkRefused(*link, ErrorCode::TooLarge, Execution::Unknown);
    BOOST_TEST(upstream->calls[0]->isCancelled);
}

BOOST_AUTO_TEST_CASE(drainingRefusesNewRequestsAndCompletesTheRest)
{
    dispatch(1);
    dispatch(2);
    gate->beginDraining(framework::ShutdownDeadlines::after(control.now(), framework::defaultGrace));
    dispatch(3);
    checkRefused(*link, ErrorCode::Draining, Execution::NotRun);
    for (const std::size_t call : { 0, 1 }) {
        answerHead(call);
        answerBytes(call, "whole");
        answerEnd(call);
    }
    BOOST_TEST(link->all<fb::AnswerEndT>().size() == 2u);
    BOOST_TEST(gate->isIdle());
}

// The agent shuts down while one request runs and another waits, both for longer than the grace period. The waiting
// request was never sent to the upstream and must be refused as not run, in time to be served elsewhere. The running
// one must be stopped and reported as unknown, in time for its router to receive that.
BOOST_AUTO_TEST_CASE(shutdownRefusesWaitingRequestsAndStopsRunningOnes)
{
    dispatch(1, 60000);
    dispatch(2, 60000);
    const auto deadlines = framework::ShutdownDeadlines::after(control.now(), Milliseconds(8000));
    gate->beginDraining(deadlines);
    control.advance(deadlines.startBy.remaining(control.now()) - Milliseconds(1));
    BOOST_TEST(link->all<fb::RefusedT>().empty());
    control.advance(Milliseconds(1));
    checkRefused(*link, ErrorCode::Draining, Execution::NotRun);
    BOOST_TEST(link->all<fb::RefusedT>().front().retry_after_ms > 0u);
    BOOST_TEST(!upstream->calls[0]->isCancelled);
    control.advance(deadlines.answerBy.remaining(control.now()));
    BOOST_TEST(upstream->calls.size() == 1u);
    BOOST_TEST(upstream->calls[0]->isCancelled);
    const auto refused = link->all<fb::RefusedT>();
    BOOST_REQUIRE(refused.size() == 2u);
    BOOST_CHECK(refused[1].code == static_cast<std::uint8_t>(ErrorCode::Draining));
    BOOST_CHECK(refused[1].execution == static_cast<std::uint8_t>(Execution::Unknown));
    BOOST_TEST(gate->isIdle());
}

// The service time is known, and the queue takes longer than the time until shutdown. Requests that can't be served
// must be refused immediately instead of waiting until that time has passed.
BOOST_AUTO_TEST_CASE(shutdownRefusesRequestsThatTheQueueCannotServeImmediately)
{
    learnServiceTime();
    dispatch(2, 60000);
    for (std::uint64_t sequence = 3; sequence < 23; ++sequence)
        dispatch(sequence, 60000);
    gate->beginDraining(framework::ShutdownDeadlines::after(control.now(), Milliseconds(1000)));
    const auto refused = link->all<fb::RefusedT>();
    BOOST_TEST(!refused.empty());
    BOOST_TEST(refused.size() < 20u, "requests that can be served keep waiting");
    for (const fb::RefusedT& each : refused) {
        BOOST_CHECK(each.code == static_cast<std::uint8_t>(ErrorCode::Draining));
        BOOST_CHECK(each.execution == static_cast<std::uint8_t>(Execution::NotRun));
    }
}

// A router dies and doesn't return. Its request continues for a while, since the router might resolve it over a new
// link; then the request must be stopped and its entry dropped.
BOOST_AUTO_TEST_CASE(theWorkOfADisconnectedRouterIsEventuallyStopped)
{
    gate->linkOpened(router);
    dispatch(1, 60000);
    gate->linkClosed(router);
    gate->forgetDisconnectedRouters();
    BOOST_TEST(!upstream->calls[0]->isCancelled);
    control.advance(limits.forgetRouterAfter);
    gate->forgetDisconnectedRouters();
    control.runPosted();
    BOOST_TEST(upstream->calls[0]->isCancelled);
    gate->forgetDisconnectedRouters();
    BOOST_TEST(gate->ledger().sessions() == 0u);
}

// Prevents an upstream from getting more requests than the limit that it names in its answers.
BOOST_AUTO_TEST_CASE(requestsAreSentAtTheRateThatTheUpstreamNames)
{
    limits.running = 20;
    limits.waiting = 100;
    gate = makeGate();
    session = gate->openSession(router);
    dispatch(1);
    upstream->calls[0]->events.onHead(200, { { "server-limit", "2" } });
    upstream->calls[0]->events.onEnd();
    control.runPosted();
    for (std::uint64_t sequence = 2; sequence <= 21; ++sequence)
        dispatch(sequence, 4900);
    control.advance(Milliseconds(4000));
    BOOST_TEST(upstream->calls.size() >= 1u + 7);
    BOOST_TEST(upstream->calls.size() <= 1u + 9);
}

// Prevents requests, and those that wait, from being sent to an upstream that has said that it leaves.
BOOST_AUTO_TEST_CASE(anUpstreamThatLeavesGetsNoRequests)
{
    dispatch(1);
    dispatch(2);
    answerWith(0, 200, { { "server-leaving", "1" } });
    checkRefused(*link, ErrorCode::Draining, Execution::NotRun);
    BOOST_TEST(link->all<fb::AnswerEndT>().size() == 1u);
    dispatch(3);
    control.advance(Milliseconds(5000));
    dispatch(4);
    BOOST_TEST(upstream->calls.size() == 1u);
    BOOST_TEST(link->all<fb::RefusedT>().size() == 3u);
    BOOST_TEST(gate->isUpstreamLeaving());
}

// Prevents requests, and those that wait, from being sent to an upstream that has asked for a rest, and untrue times to
// come back.
BOOST_AUTO_TEST_CASE(anUpstreamThatRestsGetsNoRequests)
{
    dispatch(1);
    dispatch(2);
    answerWith(0, 503, { { "retry-after", "2.5" } });
    checkRefused(*link, ErrorCode::DeadlineHopeless, Execution::NotRun);
    BOOST_TEST(link->all<fb::RefusedT>().front().retry_after_ms == 2500u);
    control.advance(Milliseconds(2000));
    dispatch(3);
    BOOST_TEST(link->all<fb::RefusedT>().back().retry_after_ms == 500u);
    BOOST_TEST(upstream->calls.size() == 1u);
    control.advance(Milliseconds(500));
    dispatch(4);
    BOOST_TEST(upstream->calls.size() == 2u);
}

// Prevents a success, and a value that can't be read, from being taken for a rest.
BOOST_AUTO_TEST_CASE(onlyA503WithANumberAsksForARest)
{
    dispatch(1);
    answerWith(0, 200, { { "Retry-After", "5" } });
    dispatch(2);
    answerWith(1, 503, { { "Retry-After", "soon" } });
    dispatch(3);
    BOOST_TEST(upstream->calls.size() == 3u);
}

// Prevents requests from waiting for a turn that comes too late.
BOOST_AUTO_TEST_CASE(aRequestWhoseTurnComesTooLateIsRefusedAtOnce)
{
    limits.running = 20;
    limits.waiting = 100;
    gate = makeGate();
    session = gate->openSession(router);
    dispatch(1);
    upstream->calls[0]->events.onHead(200, { { "Server-Limit", "0" } });
    upstream->calls[0]->events.onEnd();
    control.runPosted();
    dispatch(2);
    BOOST_TEST(upstream->calls.size() == 1u);
    const auto refused = link->all<fb::RefusedT>();
    BOOST_REQUIRE(refused.size() == 1u);
    BOOST_TEST(refused.front().retry_after_ms > 1000u);
    BOOST_TEST(refused.front().execution == static_cast<std::uint8_t>(Execution::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()
