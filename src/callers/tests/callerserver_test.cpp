#include "callerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::callers;
using namespace lagoon::callers::testing;

BOOST_AUTO_TEST_SUITE(CallerServer)

BOOST_FIXTURE_TEST_CASE(aStreamArrivesChunkByChunkAndComplete, CallerFixture)
{
    RawCaller caller(endpoint);
    caller.send(
        completionText(R"({"model":"m/a","stream":true,"prompt":"hi"})", "X-Lagoon-Priority: 9\r\nX-Own: 1\r\n"));
    const AcceptedRequest accepted = dispatcher.take();
    BOOST_TEST(accepted.request.name == framework::RequestName("9-1"));
    BOOST_TEST(accepted.request.target.model.value() == "m");
    BOOST_TEST(accepted.request.target.adapter.value() == "a");
    BOOST_TEST(accepted.request.path == "/v1/completions");
    BOOST_TEST(accepted.request.priority == 9);
    BOOST_TEST(accepted.request.isRepeatable);
    BOOST_TEST(accepted.request.prefixHash != 0u);

    accepted.answer->begin(200, { { "Content-Type", "text/event-stream" }, { "Connection", "x" } }, 2);
    accepted.answer->write("data: one\n\n");
    BOOST_TEST(caller.readUntil("data: one\n\n"));
    BOOST_TEST(contains(caller.received(), "X-Lagoon-Request: 9-1\r\n"));
    BOOST_TEST(contains(caller.received(), "X-Lagoon-Attempt: 2\r\n"));
    BOOST_TEST(contains(caller.received(), "Content-Type: text/event-stream\r\n"));
    BOOST_TEST(!contains(caller.received(), "Connection"));
    accepted.answer->write("data: [DONE]\n\n");
    accepted.answer->finish();
    BOOST_TEST(caller.readUntil(lastChunk));
    BOOST_TEST(metricSum("lagoon_answers_total{result=\"finished\"}") == 1);
}

BOOST_FIXTURE_TEST_CASE(aServiceReceivesMethodPathAndQuery, CallerFixture)
{
    RawCaller caller(endpoint);
    caller.send(requestText("PUT /services/s/slots/4?hold=1", "body", "X-Lagoon-Repeatable: false\r\n"));
    const AcceptedRequest accepted = dispatcher.take();
    BOOST_TEST(accepted.request.target.service.value() == "s");
    BOOST_TEST(accepted.request.method == "PUT");
    BOOST_TEST(accepted.request.path == "/slots/4?hold=1");
    BOOST_TEST(accepted.request.body == "body");
    BOOST_TEST(!accepted.request.isRepeatable);
    accepted.answer->begin(204, {}, 1);
    accepted.answer->finish();
    BOOST_TEST(caller.readUntil("HTTP/1.1 204"));
}

BOOST_FIXTURE_TEST_CASE(aRefusalReportsAllErrorFields, CallerFixture)
{
    const std::string answer = exchange(completionText(R"({"model":"nobody"})"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 404 "));
    const std::string body = answer.substr(answer.find("\r\n\r\n") + 4);
    BOOST_TEST(body
        == R"({"error":{"code":"unknown_model","message":"no model nobody","execution":"not_run",)"
           R"("step":"look up in bundle","peer":"bundle 7","request":"9-1","attempt":0,"retry_after_ms":null}})");
    BOOST_TEST(metricSum("lagoon_refusals_total{code=\"unknown_model\",execution=\"not_run\"}") == 1);
}

BOOST_FIXTURE_TEST_CASE(aRefusalByTheDispatcherCarriesRetryAfter, CallerFixture)
{
    RawCaller caller(endpoint);
    caller.send(completionText(R"({"model":"m"})"));
    dispatcher.take().answer->refuse({ framework::ErrorCode::NoCapacity, "find agent", "gpu-1", "all are busy",
                                         framework::Execution::Unknown, framework::Milliseconds(1001) },
        3);
    BOOST_TEST(caller.readUntil("}}"));
    BOOST_TEST(caller.received().starts_with("HTTP/1.1 503 "));
    BOOST_TEST(contains(caller.received(), "Retry-After: 2\r\n"));
    BOOST_TEST(contains(caller.received(), "X-Lagoon-Attempt: 3\r\n"));
    BOOST_TEST(contains(caller.received(),
        R"("execution":"unknown","step":"find agent","peer":"gpu-1","request":"9-1","attempt":3,"retry_after_ms":1001)"));
}

// Prevents a request that must not run twice from being run again: a load balancer retries requests that receive a 503,
// but an engine may still be running this one while the router shuts down.
BOOST_FIXTURE_TEST_CASE(aRequestThatMayHaveRunAtShutdownIsNotRefusedWith503, CallerFixture)
{
    for (const framework::ErrorCode code : { framework::ErrorCode::ShuttingDown, framework::ErrorCode::Draining }) {
        RawCaller caller(endpoint);
        caller.send(completionText(R"({"model":"m"})"));
        dispatcher.take().answer->refuse({ code, "await answer", "gpu-1", "", framework::Execution::Unknown }, 1);
        BOOST_TEST(caller.readUntil("}}"));
        BOOST_TEST(caller.received().starts_with("HTTP/1.1 502 "));
    }
}

BOOST_FIXTURE_TEST_CASE(modelsAreListed, CallerFixture)
{
    RawCaller caller(endpoint);
    caller.send(requestText("GET /v1/models"));
    BOOST_TEST(caller.readUntil(lastChunk));
    BOOST_TEST(contains(caller.received(), R"({"object":"list","data":[{"id":"m","object":"model"},{"id":"m/a")"));
}

BOOST_FIXTURE_TEST_CASE(requestsAreRefusedBeforeTheFirstBundle, CallerFixture)
{
    bundle = nullptr;
    BOOST_TEST(contains(exchange(completionText(R"({"model":"m"})")), R"("code":"not_ready")"));
}

BOOST_FIXTURE_TEST_CASE(promptsWithTheSameBeginningShareThePrefixHash, CallerFixture)
{
    const std::string shared(256, 'p');
    RawCaller first(endpoint);
    first.send(completionText(R"({"model":"m","prompt":")" + shared + R"(one"})"));
    const AcceptedRequest one = dispatcher.take();
    RawCaller second(endpoint);
    second.send(requestText("POST /v1/chat/completions",
        R"({"model":"m","messages":[{"role":"user","content":")" + shared + R"("},{"content":"two"}]})"));
    const AcceptedRequest two = dispatcher.take();
    BOOST_TEST(one.request.prefixHash == two.request.prefixHash);
    BOOST_TEST(two.request.path == "/v1/chat/completions");
}

BOOST_AUTO_TEST_SUITE_END()
