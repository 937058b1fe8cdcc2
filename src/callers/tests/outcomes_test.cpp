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

/// A completion whose answer has begun and whose first bytes its caller has read.
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

// What a user sees: half a case note that looks like a whole one.
// The agent's link breaks in mid-answer. If the router closed the body as usual, the last chunk would tell the caller
// that all is there; so the connection has to break without it.
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

// What a user sees: the page loads for ever.
// A defect in the router drops a request without an outcome; its caller has to hear of it all the same.
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

// What a user sees: the engine is busy with answers that nobody reads.
// The caller hangs up in mid-answer. cpprest shows that only as the failure of the reply at one of the next writes.
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
    BOOST_TEST(timesGone == 2, "told at once if it is known already");
}

// What a user sees: the router dies of memory while one caller's screen is asleep.
// A caller keeps its connection and stops reading; its answer would be kept here as a whole.
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

// What a user sees: the page stops in mid-sentence whenever a router VM is replaced.
// cpprest's close cuts answers in flight, so the server first refuses new requests and waits for each reply's end.
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

// What a user sees: the answer to a request that was too large is a closed connection, while routers are replaced.
// The refusal leaves only when the body has come, and its place is free before that. A process that ends as soon as its
// places are free cuts it.
BOOST_AUTO_TEST_CASE(shutdownWaitsForADeferredRefusal)
{
    CallerLimits limits;
    limits.bodyBytes = 4;
    CallerFixture fixture(limits);
    RawCaller caller(fixture.endpoint);
    caller.send("POST /services/s/ HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc");
    while (fixture.metricSum("lagoon_refusals_total{code=\"too_large\",execution=\"not_run\"}") == 0)
        std::this_thread::yield();
    fixture.server.refuseNew();
    const auto now = std::chrono::steady_clock::now();
    const auto generous = framework::Deadline::after(now, framework::Milliseconds(30000));
    BOOST_TEST(fixture.server.waitUntilIdle(generous));
    BOOST_TEST(!fixture.server.waitUntilAllSent(framework::Deadline(now)));
    caller.send("defghi");
    BOOST_TEST(fixture.server.waitUntilAllSent(generous));
    BOOST_TEST(contains(caller.readToEnd(), R"("code":"too_large")"));
}

// A stream that doesn't end within the grace period must not keep the process until it is ended by force.
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

// What a user sees: the page loads for ever, and the router that served it can't be replaced.
// Something throws while a request is taken in, which the library or its body's reader swallows. The caller has to hear
// of it, and the request must not count as in progress for ever: a graceful shutdown waits for that.
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
    // Else the caller would wait for ever.
    BOOST_REQUIRE(server.waitUntilIdle(
        framework::Deadline::after(std::chrono::steady_clock::now(), framework::Milliseconds(30000))));
    BOOST_TEST(caller.readUntil("}}"));
    BOOST_TEST(contains(caller.received(), R"("code":"internal")"));
}

// What a user sees: a request without an answer, or the figures of an incident that don't add up.
// Many requests at once end in every way there is, some of them in two ways; each has one outcome.
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
