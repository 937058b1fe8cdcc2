#include "callerfixture.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace lagoon;
using namespace lagoon::callers;
using namespace lagoon::callers::testing;

namespace {

CallerLimits smallLimits()
{
    CallerLimits limits;
    limits.bodyBytes = 1000;
    limits.headerBytes = 2000;
    limits.heldBodyBytes = 1500;
    limits.jsonDepth = 4;
    return limits;
}

struct SmallLimitsFixture : CallerFixture {
    SmallLimitsFixture()
        : CallerFixture(smallLimits())
    {
    }

    void checkRefused(const std::string& text, const std::string& status, const std::string& part)
    {
        const std::string answer = exchange(text);
        BOOST_TEST(answer.starts_with("HTTP/1.1 " + status + " "), text.substr(0, 200) << " gave " << answer);
        BOOST_TEST(contains(answer, part), text.substr(0, 200) << " gave " << answer);
        BOOST_TEST(contains(answer, R"("execution":"not_run")"));
    }
};

void checkServesOthers(CallerFixture& fixture)
{
    RawCaller caller(fixture.endpoint);
    caller.send(completionText(R"({"model":"m"})"));
    const AcceptedRequest accepted = fixture.dispatcher.take();
    accepted.answer->begin(200, {}, 1);
    accepted.answer->finish();
    BOOST_TEST(caller.readUntil("0\r\n\r\n"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(BadInput)

// Prevents a caller from receiving the rest of its stream from an upstream with other software.
BOOST_FIXTURE_TEST_CASE(streamsCanNotBeTakenUpAgain, SmallLimitsFixture)
{
    std::string text = completionText(R"({"model":"m"})");
    text.insert(text.find("\r\n") + 2, "Last-Event-Id: 5\r\n");
    checkRefused(text, "400", "taken up");
}

BOOST_FIXTURE_TEST_CASE(invalidBodiesAndPathsAreRefusedWithTheReason, SmallLimitsFixture)
{
    checkRefused(completionText("{nope"), "400", "not JSON");
    checkRefused(completionText("[1]"), "400", "expected a JSON object");
    checkRefused(completionText(R"({"prompt":"x"})"), "400", R"(key \"model\")");
    checkRefused(completionText(R"({"model":"m","model":"other"})"), "400", R"(key \"model\")");
    checkRefused(completionText(R"({"model":"m/"})"), "400", R"(key \"model\")");
    checkRefused(completionText(R"({"model":"m","x":[[[[1]]]]})"), "400", "nested deeper than 4");
    checkRefused(completionText(R"({"model":"m/b"})"), "404", "unknown_adapter");
    checkRefused(requestText("GET /services/t/x"), "404", "unknown_service");
    checkRefused(requestText("GET /services/%zz/x"), "400", "badly encoded");
    checkRefused(requestText("GET /elsewhere"), "404", "not_found");
    checkRefused(requestText("GET /v1/completions"), "405", "expected POST");
    BOOST_TEST(dispatcher.count() == 0u);
    checkServesOthers(*this);
}

BOOST_FIXTURE_TEST_CASE(invalidRequestOptionsAreRefused, SmallLimitsFixture)
{
    const auto with = [](const std::string& header) { return completionText(R"({"model":"m"})", header + "\r\n"); };
    checkRefused(with("X-Lagoon-Timeout-Ms: 0"), "400", "X-Lagoon-Timeout-Ms: expected a whole number");
    checkRefused(with("X-Lagoon-Timeout-Ms: 1e3"), "400", "X-Lagoon-Timeout-Ms");
    checkRefused(with("X-Lagoon-Repeatable: no"), "400", "expected true or false");
    checkRefused(with("X-Lagoon-Priority: 10"), "400", "from 0 to 9");
    checkRefused(with("Idempotency-Key: " + std::string(256, 'k')), "400", "1 to 255 printable");
    BOOST_TEST(dispatcher.count() == 0u);
}

// Prevents a caller that sends an endless body, announced or in chunks, from exhausting the router's memory.
BOOST_FIXTURE_TEST_CASE(largeBodiesAreRefusedWithoutAffectingOthers, SmallLimitsFixture)
{
    checkRefused(completionText(std::string(1001, 'x')), "413", "too_large");
    checkRefused(completionText(std::string(100000, 'x')), "413", "too_large");
    const std::string piece = "100\r\n" + std::string(256, 'x') + "\r\n";
    checkRefused("POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + piece + piece
            + piece + piece + "0\r\n\r\n",
        "413", "too_large");
    checkServesOthers(*this);
}

// Prevents a router from refusing with "too many requests" forever, since a caller announces a body that never arrives.
BOOST_AUTO_TEST_CASE(aBodyThatNeverArrivesFreesItsSlot)
{
    CallerLimits limits;
    limits.requestsInProgress = 1;
    CallerFixture fixture(limits);
    RawCaller caller(fixture.endpoint);
    caller.send("POST /services/s/ HTTP/1.1\r\nHost: x\r\nX-Lagoon-Timeout-Ms: 20\r\nContent-Length: 9\r\n\r\nabc");
    while (fixture.metricSum("lagoon_refusals_total{code=\"deadline_passed\",execution=\"not_run\"}") == 0)
        std::this_thread::yield();
    fixture.server.waitUntilIdle();
    checkServesOthers(fixture);
    BOOST_TEST(contains(caller.readToEnd(), R"("code":"deadline_passed")"));
    fixture.server.waitUntilIdle();
    BOOST_TEST(fixture.metricSum("lagoon_requests_in_progress") == 0);
}

BOOST_FIXTURE_TEST_CASE(anAmbiguousContentLengthIsRefused, SmallLimitsFixture)
{
    const std::string line = "POST /services/s/ HTTP/1.1\r\nHost: x\r\n";
    checkRefused(line + "Content-Length: abc\r\n\r\nabc", "400", "length is unclear");
    checkRefused(line + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "length is unclear");
    checkRefused(line + "Content-Length: -5\r\n\r\nabc", "400", "length is unclear");
    checkRefused(line + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400", "length is unclear");
    BOOST_TEST(metricSum("lagoon_refusals_total{code=\"bad_request\",execution=\"not_run\"}") == 4);
    BOOST_TEST(dispatcher.count() == 0u);
    checkServesOthers(*this);
}

BOOST_FIXTURE_TEST_CASE(largeHeadersAndHttp10AreRefused, SmallLimitsFixture)
{
    checkRefused(requestText("GET /services/s/", "", "Large: " + std::string(2000, 'h') + "\r\n"), "431", "too_large");
    checkRefused(requestText("GET /services/s/" + std::string(2000, 'p')), "431", "too_large");
    checkRefused("GET /services/s/ HTTP/1.0\r\n\r\n", "505", "expected HTTP/1.1");
    checkServesOthers(*this);
}

BOOST_FIXTURE_TEST_CASE(theTotalSizeOfBodiesIsBounded, SmallLimitsFixture)
{
    RawCaller first(endpoint);
    first.send(requestText("POST /services/s/", std::string(900, 'x')));
    const AcceptedRequest accepted = dispatcher.take();
    checkRefused(requestText("POST /services/s/", std::string(900, 'x')), "429", "too_many_waiting");
    accepted.answer->begin(200, {}, 1);
    accepted.answer->finish();
    BOOST_TEST(first.readUntil("0\r\n\r\n"));
    server.waitUntilIdle();
}

BOOST_AUTO_TEST_CASE(requestsAboveTheWaitingLimitAreRefusedAtOnce)
{
    CallerLimits limits;
    limits.waitingRequests = 1;
    CallerFixture fixture(limits);
    RawCaller first(fixture.endpoint);
    first.send(completionText(R"({"model":"m"})"));
    const AcceptedRequest accepted = fixture.dispatcher.take();
    const std::string refusal = fixture.exchange(completionText(R"({"model":"m"})"));
    BOOST_TEST(refusal.starts_with("HTTP/1.1 429 "));
    BOOST_TEST(contains(refusal, "Retry-After: 1\r\n"));
    accepted.answer->begin(200, {}, 1);
    accepted.answer->finish();
    BOOST_TEST(first.readUntil("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
