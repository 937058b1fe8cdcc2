#include "callerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::callers;
using namespace lagoon::callers::testing;

BOOST_AUTO_TEST_SUITE(CallerServer)

BOOST_FIXTURE_TEST_CASE(aStreamArrivesChunkByChunkAndWhole, CallerFixture)
{
    RawCaller caller(endpoint);
    caller.send(
        completionText(R"({"model":"m/a","stream":true,"prompt":"hi"})", "X-Lagoon-Priority: 9\r\nX-Own: 1\r\n"));
    const Accepted accepted = dispatcher.take();
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
    BOOST_TEST(caller.received().find("X-Lagoon-Request: 9-1\r\n") != std::string::npos);
    BOOST_TEST(caller.received().find("X-Lagoon-Attempt: 2\r\n") != std::string::npos);
    BOOST_TEST(caller.received().find("Content-Type: text/event-stream\r\n") != std::string::npos);
    BOOST_TEST(caller.received().find("Connection") == std::string::npos);
    accepted.answer->write("data: [DONE]\n\n");
    accepted.answer->finish();
    BOOST_TEST(caller.readUntil("\r\n0\r\n\r\n"));
    BOOST_TEST(counted("lagoon_answers_total{result=\"finished\"}") == 1);
}

BOOST_FIXTURE_TEST_CASE(aServiceGetsMethodPathAndQuery, CallerFixture)
{
    RawCaller caller(endpoint);
    caller.send(requestText("PUT /services/s/slots/4?hold=1", "body", "X-Lagoon-Repeatable: false\r\n"));
    const Accepted accepted = dispatcher.take();
    BOOST_TEST(accepted.request.target.service.value() == "s");
    BOOST_TEST(accepted.request.method == "PUT");
    BOOST_TEST(accepted.request.path == "/slots/4?hold=1");
    BOOST_TEST(accepted.request.body == "body");
    BOOST_TEST(!accepted.request.isRepeatable);
    accepted.answer->begin(204, {}, 1);
    accepted.answer->finish();
    BOOST_TEST(caller.readUntil("HTTP/1.1 204"));
}

BOOST_FIXTURE_TEST_CASE(aRefusalSaysAllThatIsKnown, CallerFixture)
{
    const std::string answer = exchange(completionText(R"({"model":"nobody"})"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 404 "));
    const std::string body = answer.substr(answer.find("\r\n\r\n") + 4);
    BOOST_TEST(body
        == R"({"error":{"code":"unknown_model","message":"no model nobody","execution":"not_run",)"
           R"("step":"look up in bundle","peer":"bundle 7","request":"9-1","attempt":0,"retry_after_ms":null}})");
    BOOST_TEST(counted("lagoon_refusals_total{code=\"unknown_model\",execution=\"not_run\"}") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
