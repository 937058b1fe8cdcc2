#include "fleet/runningfleet.h"
#include "fleet/streamevents.h"
#include "http/testing/rawcaller.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lagoon::fleet;
using lagoon::http::testing::RawCaller;
using lagoon::testsupport::waitFor;

namespace {

std::string events(int first, int last)
{
    std::string text;
    for (int event = first; event <= last; ++event)
        text += eventText(event, "v1");
    return text;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(DirectPathThroughSeparateProcesses, RunningFleet)

BOOST_AUTO_TEST_CASE(aLoadedModelsStreamIsForwardedUnchanged)
{
    const CallerAnswer answer = call({ .target = "/model/1", .attempt = "a1", .model = "warm" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(answer.body == events(1, 3));
    BOOST_TEST(answer.headers.at("X-Response-Seal") == "seal-e-1");
    BOOST_TEST(engine1.lastHeader("x-request-attempt") == "a1");
    BOOST_TEST(engine1.lastBody() == "body");
}

BOOST_AUTO_TEST_CASE(aColdModelIsLoadedForAWaitingRequest)
{
    const CallerAnswer answer = call({ .target = "/model/1", .attempt = "a1", .model = "cold" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == events(1, 3));
    BOOST_TEST((engine1.holds("cold") || engine2.holds("cold")));
    BOOST_TEST(engine1.violations() + engine2.violations() == 0);
}

BOOST_AUTO_TEST_CASE(anAdapterIsLoadedOnItsModel)
{
    const CallerAnswer answer = call({ .target = "/model/1", .attempt = "a1", .model = "warm/a2" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(engine1.holds("warm", "a2"));
}

BOOST_AUTO_TEST_CASE(modelsThatDoNotFitTogetherAreLoadedInTurn)
{
    for (const std::string model : { "cold", "colder", "warm", "cold", "colder" }) {
        const CallerAnswer answer = call({ .target = "/model/1", .attempt = model + "-x", .model = model });
        BOOST_TEST(answer.status == 200);
    }
    BOOST_TEST(engine1.violations() + engine2.violations() == 0);
}

BOOST_AUTO_TEST_CASE(getAndPostRequestsAreServed)
{
    const CallerAnswer get = call({ .method = "GET", .target = "/get/1?q=2", .attempt = "g1" });
    BOOST_TEST(get.status == 200);
    BOOST_TEST(get.body == "GET /get/1 ");
    const CallerAnswer post = call({ .target = "/post/1", .attempt = "p1", .body = "hold" });
    BOOST_TEST(post.body == "POST /post/1 hold");
    BOOST_TEST(call({ .target = "/nothing/1", .attempt = "n1" }).status == 404);
}

// Prevents callers from setting internal headers: one that reached the engine would reserve memory that nothing uses.
BOOST_AUTO_TEST_CASE(reservationHeadersFromCallersAreDropped)
{
    call({ .target = "/model/1",
        .attempt = "a1",
        .model = "warm",
        .headers = { { "X-Hold", "h" }, { "X-Pin-Ms", "9" }, { "X-Expect-Instance", "e-9" }, { "Kv-From", "x" } } });
    BOOST_TEST(engine1.lastHeader("x-hold").empty());
    BOOST_TEST(engine1.lastHeader("x-pin-ms").empty());
    BOOST_TEST(engine1.lastHeader("kv-from").empty());
    BOOST_TEST(engine1.lastHeader("x-expect-instance") == "e-1");
}

// Prevents a double booking: the first server runs the hold and then loses the answer, and the router must not send the
// hold to the other server.
BOOST_AUTO_TEST_CASE(aRequestThatMayHaveRunIsNotResent)
{
    plain1.dropNext(1);
    plain2.dropNext(1);
    const CallerAnswer answer = call({ .target = "/post/1", .attempt = "p1" });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(plain1.runs("p1") + plain2.runs("p1") == 1);
}

BOOST_AUTO_TEST_CASE(anIdempotentRequestIsRetriedOnAnotherServer)
{
    plain1.dropNext(1);
    const CallerAnswer first = call({ .method = "GET", .target = "/get/1", .attempt = "g1" });
    const CallerAnswer second = call({ .method = "GET", .target = "/get/1", .attempt = "g2" });
    BOOST_TEST(first.status == 200);
    BOOST_TEST(second.status == 200);
}

// A lookup that fails on one server is retried on another. One lookup in seven fails on an ordinary day, and without
// the router's retry each of them costs its caller a second attempt over a new connection.
BOOST_AUTO_TEST_CASE(aFailedLookupIsRetriedOnAnotherServer)
{
    plain1.failNext(1);
    BOOST_TEST(call({ .method = "GET", .target = "/get/1", .attempt = "g1" }).status == 200);
    BOOST_TEST(call({ .method = "GET", .target = "/get/1", .attempt = "g2" }).status == 200);
}

// Not part of the case above: until an agent has reported the number of routers, a router can afford a single retry.
BOOST_AUTO_TEST_CASE(aLookupThatFailsOnAllServersGetsAServersAnswer)
{
    plain1.failNext(1);
    plain2.failNext(1);
    const CallerAnswer answer = call({ .method = "GET", .target = "/get/1", .attempt = "g1" });
    BOOST_TEST(answer.status == 500);
    BOOST_TEST(answer.body.starts_with("failed at "));
    BOOST_TEST(answer.headers.at("X-Response-Seal") == "seal-" + answer.body.substr(10));
    BOOST_TEST(plain1.runs("g1") == 1);
    BOOST_TEST(plain2.runs("g1") == 1);
}

// Prevents a double booking: the first server fails after it has stored the hold, so the hold must not be retried.
BOOST_AUTO_TEST_CASE(aFailedHoldIsNotRetriedOnAnotherServer)
{
    plain1.failNext(1);
    plain2.failNext(1);
    const CallerAnswer answer = call({ .target = "/post/1", .attempt = "p1" });
    BOOST_TEST(answer.status == 500);
    BOOST_TEST(plain1.runs("p1") + plain2.runs("p1") == 1);
}

BOOST_AUTO_TEST_CASE(aRequestRefusedAsNotRunIsRetriedOnAnotherServer)
{
    plain1.refuseNext(1);
    plain2.refuseNext(1);
    const CallerAnswer answer = call({ .target = "/post/1", .attempt = "p1" });
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!answer.headers.at("Retry-After").empty());
    BOOST_TEST(plain1.runs("p1") + plain2.runs("p1") == 0);
    BOOST_TEST(call({ .target = "/post/1", .attempt = "p2" }).status == 200);
}

// A server crashes during the eighth event of a resumable stream. The caller's stream continues after the seventh event
// from another server, without a gap or a repeated event.
BOOST_AUTO_TEST_CASE(aResumableStreamContinuesOnAnotherServer)
{
    engine2.hold("warm");
    engine1.setStream(12, 1);
    engine2.setStream(12, 1);
    // Prompts with different beginnings prefer different engines, and the router first has to learn that both engines
    // have the model.
    int resumed = 0;
    int tries = 0;
    waitFor("streams to begin at the first engine and end at the other", [&] {
        const std::string id = "r" + std::to_string(++tries);
        engine1.cutStreamAt(8);
        const CallerAnswer answer
            = call({ .target = "/resume/1", .attempt = id, .model = "warm", .prompt = id + ":100" });
        const bool isResumed = engine1.runs(id) == 1 && engine2.runs(id) == 1;
        BOOST_TEST((!isResumed || answer.body == events(1, 12)));
        BOOST_TEST((!isResumed || answer.headers.at("X-Response-Seal") == "seal-e-1"));
        resumed += isResumed ? 1 : 0;
        return resumed >= 3;
    });
}

BOOST_AUTO_TEST_CASE(aStreamThatMustNotRunTwiceIsBrokenOff)
{
    engine1.setStream(12, 1);
    engine1.cutStreamAt(8);
    const CallerAnswer answer = call({ .target = "/model/1", .attempt = "a1", .model = "warm" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(!answer.isComplete);
    BOOST_TEST(answer.body == events(1, 7));
    BOOST_TEST(engine1.runs("a1") == 1);
}

// Prevents wasted work: when a caller disconnects, the engine must stop generating, as other requests wait for it.
BOOST_AUTO_TEST_CASE(aDisconnectedCallersWorkIsCancelled)
{
    engine1.setStream(1000, 20);
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    caller.send(CallerRequest { .target = "/model/1", .attempt = "a1", .model = "warm" }.text());
    BOOST_TEST(caller.readUntil("word1"));
    caller.disconnect();
    waitFor("the engine to drop the work", [this] { return engine1.cancelled() == 1; });
}

BOOST_AUTO_TEST_CASE(aNewConfigurationTakesEffectAndNoOlderOneReturns)
{
    auto routes = Fleet::defaultRoutes();
    routes.push_back(Fleet::route("/new/", "idempotent", "plain"));
    fleet.configure(routes);
    waitFor("the new route",
        [this] { return call({ .method = "GET", .target = "/new/1", .attempt = "n1" }).status == 200; });
    store.forgetHistory();
    fleet.configure(Fleet::defaultRoutes());
    waitFor("the route to be gone",
        [this] { return call({ .method = "GET", .target = "/new/1", .attempt = "n2" }).status == 404; });
}

BOOST_AUTO_TEST_CASE(aDrainingServerGetsNoNewRequests)
{
    fleet.list(plain1, "plain", "draining");
    waitFor("the router to know",
        [this] { return fleet.router().output().find("\"state\":\"leaving\"") != std::string::npos; });
    const int before = plain1.totalRuns();
    for (int request = 0; request < 20; ++request)
        BOOST_TEST(
            call({ .method = "GET", .target = "/get/1", .attempt = "g" + std::to_string(request) }).status == 200);
    BOOST_TEST(plain1.totalRuns() == before);
}

// Prevents 404 answers to valid requests during an outage of the store of some seconds.
BOOST_AUTO_TEST_CASE(requestsAreServedDuringAStoreOutage)
{
    store.setUnavailable(true);
    waitFor("the router to notice", [this] { return fleet.router().output().find("store_lost") != std::string::npos; });
    BOOST_TEST(call({ .method = "GET", .target = "/get/1", .attempt = "g1" }).status == 200);
    BOOST_TEST(call({ .target = "/model/1", .attempt = "a1", .model = "warm" }).status == 200);
    BOOST_TEST(fleet.isReady());
    store.setUnavailable(false);
    waitFor("the router to be back",
        [this] { return fleet.router().output().find("store_regained") != std::string::npos; });
}

BOOST_AUTO_TEST_CASE(aRouterCompletesItsStreamsOnSigterm)
{
    engine1.setStream(40, 20);
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    caller.send(CallerRequest { .target = "/model/1", .attempt = "a1", .model = "warm" }.text());
    BOOST_TEST(caller.readUntil("word1"));
    fleet.router().sendSignal(SIGTERM);
    waitFor("the router to report that it is not ready", [this] { return !fleet.isReady(); });
    // New callers are still served until load balancers have noticed that the router is not ready.
    BOOST_TEST(call({ .method = "GET", .target = "/get/1", .attempt = "g1" }).status == 200);
    BOOST_TEST(caller.readToEnd().ends_with("0\r\n\r\n"));
    BOOST_TEST(fleet.router().waitForExit() == 0);
    BOOST_TEST(fleet.router().output().find("\"stopped\",\"unanswered\":0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(sighupReloadsTheSettings)
{
    fleet.router().sendSignal(SIGHUP);
    waitFor("the reload", [this] { return fleet.router().output().find("\"reloaded\"") != std::string::npos; });
    BOOST_TEST(call({ .method = "GET", .target = "/get/1", .attempt = "g1" }).status == 200);
}

// Prevents each reload of the settings from giving the router its whole reserve of retries again.
BOOST_AUTO_TEST_CASE(aReloadDoesNotRefillTheRetryBudget)
{
    constexpr int lookups = 40;
    constexpr int most = lookups + lookups / 5 + 1;
    // Longer than the agents need to report how many routers there are, which decides the router's share of the
    // reserve.
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    const auto runsOf = [this](const std::string& name) {
        const int before = plain1.totalRuns() + plain2.totalRuns();
        for (int number = 0; number < lookups; ++number)
            call({ .method = "GET", .target = "/get/1", .attempt = name + std::to_string(number) });
        return plain1.totalRuns() + plain2.totalRuns() - before;
    };
    plain1.failNext(1000000);
    plain2.failNext(1000000);
    waitFor("the reserve to be spent", [&] { return runsOf("spend") <= most; });
    while (std::chrono::steady_clock::now() < end) {
        const std::size_t log = fleet.router().output().size();
        fleet.router().sendSignal(SIGHUP);
        waitFor("the reload", [&] { return fleet.router().output().find("\"reloaded\"", log) != std::string::npos; });
        BOOST_TEST(runsOf("after") <= most);
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Prevents 404 answers from a router that is started during an outage of the store and so has no configuration.
BOOST_AUTO_TEST_CASE(aRouterWithoutConfigurationRefusesWithRetryAfter)
{
    Fleet& fleet = Fleet::make();
    fleet.store.setUnavailable(true);
    fleet.startProcesses();
    BOOST_TEST(!fleet.isReady());
    const CallerAnswer refused = fleet.call({ .method = "GET", .target = "/get/1", .attempt = "g1" });
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(!refused.headers.at("Retry-After").empty());
    fleet.store.setUnavailable(false);
    waitFor("the router to be ready", [&] { return fleet.isReady(); });
    waitFor(
        "a server", [&] { return fleet.call({ .method = "GET", .target = "/get/1", .attempt = "g2" }).status == 200; });
    fleet.stop();
}
