#include "callerfixture.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>
#include <vector>

using namespace lagoon;
using namespace lagoon::callers;
using namespace lagoon::callers::testing;

namespace {

const framework::Error linkLost { framework::ErrorCode::LinkLost, "read answer", "gpu-1", "",
    framework::Execution::Unknown };

/// Starts the answer to a completion, and returns after the caller has read its first bytes.
AcceptedRequest startStream(CallerFixture& fixture, RawCaller& caller)
{
    caller.send(completionText(R"({"model":"m"})"));
    AcceptedRequest accepted = fixture.dispatcher.take();
    accepted.answer->begin(200, {}, 1);
    accepted.answer->write("first");
    BOOST_TEST(caller.readUntil("first"));
    return accepted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Outcomes)

// Prevents a truncated answer from looking complete: the agent's link breaks during an answer. If the router closed the
// body normally, the last chunk would tell the caller that the answer is complete, so the connection has to break
// without it.
BOOST_FIXTURE_TEST_CASE(aBrokenOffAnswerNeverLooksComplete, CallerFixture)
{
    RawCaller caller(endpoint);
    const AcceptedRequest accepted = startStream(*this, caller);
    accepted.answer->breakOff(linkLost);
    accepted.answer->finish();
    BOOST_TEST(!contains(caller.readToEnd(), lastChunk));
    BOOST_TEST(metricSum("lagoon_answers_total{result=\"broken_off\"}") == 1);
    BOOST_TEST(metricSum("lagoon_answers_total") == 1);
}

// Prevents a caller from waiting forever: a defect in the router drops a request without an outcome, and the caller has
// to receive an error.
BOOST_FIXTURE_TEST_CASE(aDroppedAnswerIsReportedAsAnError, CallerFixture)
{
    RawCaller waiting(endpoint);
    waiting.send(completionText(R"({"model":"m"})"));
    dispatcher.take();
    BOOST_TEST(waiting.readUntil("}}"));
    BOOST_TEST(waiting.received().starts_with("HTTP/1.1 500 "));
    BOOST_TEST(
        contains(waiting.received(), R"("code":"internal","message":"the request was dropped","execution":"unknown")"));

    RawCaller streaming(endpoint);
    startStream(*this, streaming);
    BOOST_TEST(!contains(streaming.readToEnd(), lastChunk));
}

// Prevents an engine from computing answers that nobody reads, since a caller disconnects during its answer.
BOOST_FIXTURE_TEST_CASE(aDisconnectDuringAnAnswerIsReported, CallerFixture)
{
    RawCaller caller(endpoint);
    const AcceptedRequest accepted = startStream(*this, caller);
    std::atomic<int> timesGone = 0;
    accepted.answer->onCallerGone([&] { ++timesGone; });
    caller.disconnect();
    while (timesGone == 0) {
        accepted.answer->write("more");
        std::this_thread::yield();
    }
    accepted.answer->write("more");
    accepted.answer->breakOff(linkLost);
    server.waitUntilIdle();
    BOOST_TEST(timesGone == 1);
    BOOST_TEST(metricSum("lagoon_answers_total{result=\"caller_gone\"}") == 1);
    BOOST_TEST(metricSum("lagoon_answers_total") == 1);
    accepted.answer->onCallerGone([&] { ++timesGone; });
    BOOST_TEST(timesGone == 2, "a handler set after the disconnect is called at once");
}

// Prevents an engine from computing answers for a caller that disconnects while it waits.
BOOST_FIXTURE_TEST_CASE(aDisconnectBeforeTheAnswerIsReported, CallerFixture)
{
    RawCaller caller(endpoint);
    caller.send(completionText(R"({"model":"m"})"));
    const AcceptedRequest accepted = dispatcher.take();
    std::promise<void> gone;
    accepted.answer->onCallerGone([&] { gone.set_value(); });
    caller.disconnect();
    gone.get_future().wait();
    BOOST_TEST(metricSum("lagoon_answers_total{result=\"caller_gone\"}") == 1);
}

// Prevents a router from running out of memory: a caller keeps its connection open and stops reading, and the router
// would hold its whole answer.
BOOST_AUTO_TEST_CASE(anAnswerThatIsNotReadIsBrokenOff)
{
    CallerLimits limits;
    limits.answerBacklogBytes = 256 * 1024;
    CallerFixture fixture(limits);
    RawCaller caller(fixture.endpoint);
    const AcceptedRequest accepted = startStream(fixture, caller);
    std::atomic<bool> isGone = false;
    accepted.answer->onCallerGone([&] { isGone = true; });
    while (!isGone)
        accepted.answer->write(std::string(32 * 1024, 'x'));
    BOOST_TEST(!contains(caller.readToEnd(), lastChunk));
    BOOST_TEST(fixture.metricSum("lagoon_answers_total{result=\"caller_slow\"}") == 1);
}

// Prevents truncated answers when a router VM is replaced: the server first refuses new requests and waits until each
// answer has been sent.
BOOST_FIXTURE_TEST_CASE(aGracefulShutdownCompletesAllAnswers, CallerFixture)
{
    std::array<std::optional<RawCaller>, 3> callers;
    std::vector<AcceptedRequest> streams;
    for (std::optional<RawCaller>& caller : callers)
        streams.push_back(startStream(*this, caller.emplace(endpoint)));
    RawCaller waiting(endpoint);
    waiting.send(completionText(R"({"model":"m"})"));
    const AcceptedRequest waitingRequest = dispatcher.take();

    server.refuseNew();
    std::future<void> idle = std::async(std::launch::async, [this] { server.waitUntilIdle(); });
    const std::string refusal = exchange(completionText(R"({"model":"m"})"));
    BOOST_TEST(refusal.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(contains(refusal, R"("code":"shutting_down")"));
    BOOST_TEST(contains(refusal, R"("execution":"not_run")"));
    BOOST_TEST(contains(refusal, "Connection: close\r\n"));

    BOOST_CHECK(idle.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
    waitingRequest.answer->begin(200, {}, 1);
    waitingRequest.answer->finish();
    for (const AcceptedRequest& stream : streams) {
        stream.answer->write(", last");
        stream.answer->finish();
    }
    idle.get();
    server.stop();
    BOOST_TEST(contains(waiting.readToEnd(), "0\r\n\r\n"));
    for (std::optional<RawCaller>& caller : callers)
        BOOST_TEST(contains(caller->readToEnd(), std::string(", last") + lastChunk));
    BOOST_TEST(metricSum("lagoon_answers_total{result=\"finished\"}") == 4);
}

// Prevents a caller that waits before the rest of its body from waiting for its refusal too, also during shutdown.
BOOST_AUTO_TEST_CASE(aRefusalIsSentBeforeTheRestOfItsBody)
{
    CallerLimits limits;
    limits.bodyBytes = 4;
    CallerFixture fixture(limits);
    RawCaller tooLarge(fixture.endpoint);
    tooLarge.send("POST /services/s/ HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc");
    BOOST_TEST(tooLarge.readUntil("}}"));
    BOOST_TEST(contains(tooLarge.received(), R"("code":"too_large")"));
    BOOST_TEST(fixture.metricSum("lagoon_refusals_total{code=\"too_large\",execution=\"not_run\"}") == 1);
    RawCaller late(fixture.endpoint);
    late.send("POST /services/s/ HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabc");
    fixture.server.refuseNew();
    const auto now = std::chrono::steady_clock::now();
    const auto generous = framework::Deadline::after(now, framework::Milliseconds(30000));
    BOOST_TEST(fixture.server.waitUntilIdle(generous));
    BOOST_TEST(!fixture.server.waitUntilAllSent(framework::Deadline(now)));
    // What a caller sends behind its refusal must not reset the connection, and the refusal with it.
    tooLarge.send("defghi");
    late.send("d");
    BOOST_TEST(fixture.server.waitUntilAllSent(generous));
    BOOST_TEST(contains(tooLarge.readToEnd(), R"("code":"too_large")"));
    BOOST_TEST(contains(late.readToEnd(), R"("code":"shutting_down")"));
    BOOST_TEST(contains(late.received(), R"("execution":"not_run")"));
    BOOST_TEST(!late.wasReset());
}

// Prevents a process from being killed during shutdown because it waits for a stream that does not end within the grace
// period.
BOOST_FIXTURE_TEST_CASE(waitingForRepliesStopsAtItsDeadline, CallerFixture)
{
    RawCaller caller(endpoint);
    const AcceptedRequest accepted = startStream(*this, caller);
    server.refuseNew();
    BOOST_TEST(!server.waitUntilIdle(framework::Deadline(std::chrono::steady_clock::now())));
    accepted.answer->finish();
    BOOST_TEST(server.waitUntilIdle(
        framework::Deadline::after(std::chrono::steady_clock::now(), framework::Milliseconds(30000))));
}

// Prevents a caller and a graceful shutdown from waiting forever for a request whose handling throws.
BOOST_AUTO_TEST_CASE(anExceptionWhileReceivingARequestIsReportedAsAnError)
{
    FakeDispatcher dispatcher;
    const auto metrics = std::make_shared<framework::Metrics>();
    CallerServer server(
        {}, dispatcher, []() -> bundle::BundlePointer { throw std::runtime_error("no bundle"); },
        framework::Incarnation(9), metrics);
    RawCaller caller(server.start(framework::Endpoint("127.0.0.1:0")).value());
    caller.send(completionText(R"({"model":"m"})"));
    while (metrics->text().find("lagoon_requests_total") == std::string::npos)
        std::this_thread::yield();
    // Required, since the caller below would otherwise wait forever.
    BOOST_REQUIRE(server.waitUntilIdle(
        framework::Deadline::after(std::chrono::steady_clock::now(), framework::Milliseconds(30000))));
    BOOST_TEST(caller.readUntil("}}"));
    BOOST_TEST(contains(caller.received(), R"("code":"internal")"));
}

// Prevents requests without an answer and counters that do not add up: many concurrent requests end in every possible
// way, some of them in two ways, and each has to have exactly one outcome.
BOOST_FIXTURE_TEST_CASE(eachRequestHasOneOutcome, CallerFixture)
{
    constexpr int callers = 8;
    constexpr int requestsEach = 30;
    constexpr int malformedEach = 5;
    std::thread dispatching([this] {
        for (int index = 0; index < callers * requestsEach; ++index) {
            const AcceptedRequest accepted = dispatcher.take();
            const int outcome = index % 5;
            if (outcome == 0) {
                accepted.answer->refuse(linkLost, 1);
                continue;
            }
            accepted.answer->begin(200, {}, 1);
            accepted.answer->write(accepted.request.body);
            if (outcome == 1)
                accepted.answer->breakOff(linkLost);
            if (outcome != 2)
                accepted.answer->finish();
        }
    });
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([this, caller] {
            for (int index = 0; index < requestsEach + malformedEach; ++index) {
                const std::string own = std::to_string(caller) + "." + std::to_string(index);
                RawCaller raw(endpoint);
                raw.send(completionText(index < requestsEach ? R"({"model":"m","prompt":")" + own + R"("})" : "{" + own,
                    "Connection: close\r\n"));
                const std::string& answer = raw.readToEnd();
                if (answer.starts_with("HTTP/1.1 200 ") && contains(answer, lastChunk))
                    BOOST_TEST(contains(answer, own));
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    dispatching.join();
    server.waitUntilIdle();
    BOOST_TEST(metricSum("lagoon_requests_total") == callers * (requestsEach + malformedEach));
    BOOST_TEST(metricSum("lagoon_answers_total") == metricSum("lagoon_requests_total"));
    BOOST_TEST(metricSum("lagoon_refusals_total") == metricSum("lagoon_answers_total{result=\"refused\"}"));
    BOOST_TEST(metricSum("lagoon_requests_waiting") == 0);
    BOOST_TEST(metricSum("lagoon_requests_in_progress") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
