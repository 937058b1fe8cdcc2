#include "fleet/fleet.h"
#include "http/testing/rawcaller.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace lagoon::fleet;
using lagoon::http::testing::RawCaller;
using lagoon::testsupport::waitFor;

namespace {

constexpr lagoon::framework::Milliseconds grace { 4000 };

/// A route whose target latency for the first event is longer than a load takes.
web::json::value slowLoadRoute()
{
    web::json::value route = Fleet::route("/model/", "streaming", "engines");
    route["target-latency-ms"] = web::json::value::number(5000);
    return route;
}

/// A fleet with a router whose grace period is shorter than a load, and with engines that hold their loads.
struct RouterShutdownFixture {
    explicit RouterShutdownFixture(lagoon::framework::Milliseconds time = grace)
    {
        fleet.setGrace(time);
        fleet.setLoadTime(lagoon::framework::Milliseconds(6000));
        fleet.configure({ slowLoadRoute() });
        fleet.start();
        fleet.engine1.setLoadsStalled(true);
        fleet.engine2.setLoadsStalled(true);
    }
    ~RouterShutdownFixture() { fleet.stop(); }

    int orders() const { return fleet.engine1.orders() + fleet.engine2.orders(); }

    void sendSigterm()
    {
        fleet.router().sendSignal(SIGTERM);
        waitFor("the router to report that it is not ready", [this] { return !fleet.isReady(); });
    }

    void send(RawCaller& caller, const std::string& attempt, const std::string& model)
    {
        caller.send(CallerRequest { .target = "/model/1", .attempt = attempt, .model = model }.text());
    }

    /// Sends a request for a stream and waits until the engine has started it. The engine sends no event for 60 s.
    void sendToStalledEngine(RawCaller& caller, const std::string& attempt)
    {
        fleet.engine1.setStream(3, 60000);
        send(caller, attempt, "warm");
        waitFor("the engine to start the stream", [&] { return fleet.engine1.runs(attempt) == 1; });
    }

    void waitUntilLoading(RawCaller& caller, const std::string& attempt)
    {
        const int before = orders();
        send(caller, attempt, "cold");
        waitFor("the load order for the model", [&] { return orders() > before; });
    }

    /// Checks for a complete 503 refusal with a Retry-After header, and that no engine has run the request.
    void checkRefusedAsNotRun(RawCaller& caller, const std::string& attempt)
    {
        const CallerAnswer answer = parseAnswer(caller.readToEnd());
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.isComplete);
        BOOST_REQUIRE(answer.headers.contains("Retry-After"));
        // Another router can load the model as well, so the caller does not have to wait.
        BOOST_TEST(std::stod(answer.headers.at("Retry-After")) <= 0.5);
        BOOST_TEST(fleet.engine1.runs(attempt) + fleet.engine2.runs(attempt) == 0);
    }

    void checkCleanExit()
    {
        BOOST_TEST(fleet.router().waitForExit() == 0);
        BOOST_TEST(fleet.router().output().find("\"stopped\",\"unanswered\":0") != std::string::npos);
    }

    Fleet& fleet = Fleet::make();
};

/// A router whose grace period of 60 s does not end during a test.
struct LongGracePeriodFixture : RouterShutdownFixture {
    LongGracePeriodFixture()
        : RouterShutdownFixture(lagoon::framework::Milliseconds(60000))
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARouterAnswersAllRequestsBeforeItExits, RouterShutdownFixture)

// Prevents requests that end without an answer: a request waits for a load when its router is shut down, and both the
// load and the request's deadline end after the grace period. Without a deadline for the end of the process, the router
// would close the connection, and the caller would not know that it may retry elsewhere. The log would then show
// neither `sent` nor `ended` for the request, and would count it as `unanswered`.
BOOST_AUTO_TEST_CASE(aRequestThatWaitsForALoadIsRefusedAsNotRun)
{
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    waitUntilLoading(caller, "w1");
    sendSigterm();
    checkRefusedAsNotRun(caller, "w1");
    checkCleanExit();
}

// A request for a cold model arrives after SIGTERM, in the seconds before load balancers notice that the router is not
// ready.
BOOST_AUTO_TEST_CASE(aRequestReceivedAfterSigtermIsRefusedAsNotRun)
{
    sendSigterm();
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    send(caller, "l1", "cold");
    checkRefusedAsNotRun(caller, "l1");
    checkCleanExit();
}

// Prevents unanswered requests after a pause: the VM of a router that is shutting down is paused until the grace period
// is over. When it continues, the router must refuse the waiting requests before it exits.
BOOST_AUTO_TEST_CASE(aPausedRouterStillRefusesWaitingRequests)
{
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    waitUntilLoading(caller, "z1");
    sendSigterm();
    fleet.router().sendSignal(SIGSTOP);
    std::this_thread::sleep_for(grace);
    fleet.router().sendSignal(SIGCONT);
    checkRefusedAsNotRun(caller, "z1");
    checkCleanExit();
}

// An engine has started a stream but sent no event of it when the router shuts down. The request may have run, so the
// caller must get a 504 answer that says so, instead of a closed connection.
BOOST_AUTO_TEST_CASE(aStreamWithoutAnyEventIsAnsweredAsUnknown)
{
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    sendToStalledEngine(caller, "s1");
    sendSigterm();
    const CallerAnswer answer = parseAnswer(caller.readToEnd());
    BOOST_TEST(answer.status == 504);
    BOOST_TEST(answer.isComplete);
    checkCleanExit();
}

// A stream that is still in progress at the end of the grace period is broken off. What its caller has received must
// not look complete.
BOOST_AUTO_TEST_CASE(aStreamInProgressIsBrokenOff)
{
    fleet.engine1.setStream(100000, 20);
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    send(caller, "b1", "warm");
    BOOST_TEST(caller.readUntil("word1"));
    sendSigterm();
    const CallerAnswer answer = parseAnswer(caller.readToEnd());
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(!answer.isComplete);
    checkCleanExit();
}

// Prevents unanswered requests after a pause: the host of a router is paused in the last seconds of its shutdown, as
// when a VM is migrated. When it continues, the deadlines of its requests have passed as well as its own. It must
// answer all of them before it exits.
BOOST_AUTO_TEST_CASE(aRouterPausedPastItsDeadlineAnswersBeforeItExits)
{
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 40; ++i) {
        const std::string attempt = "z" + std::to_string(i);
        callers.push_back(std::make_unique<RawCaller>(lagoon::framework::Endpoint(fleet.callers())));
        sendToStalledEngine(*callers.back(), attempt);
    }
    sendSigterm();
    fleet.router().sendSignal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(4200));
    fleet.router().sendSignal(SIGCONT);
    int completeAnswers = 0;
    for (const auto& caller : callers)
        completeAnswers += parseAnswer(caller->readToEnd()).isComplete ? 1 : 0;
    BOOST_TEST(completeAnswers == 40);
    checkCleanExit();
}

// A caller is still sending its request when the router shuts down. The router must refuse the request instead of
// closing the connection while most of its grace period is left.
BOOST_AUTO_TEST_CASE(anIncompleteRequestIsRefused)
{
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    CallerRequest request { .target = "/model/1", .attempt = "h1", .model = "warm" };
    request.body = "one half and the other";
    const std::string text = request.text();
    caller.send(text.substr(0, text.size() - 5));
    sendSigterm();
    const CallerAnswer answer = parseAnswer(caller.readToEnd());
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.isComplete);
    checkCleanExit();
}

// Prevents a dispatch without time left: the rest of a request arrives just after the router has refused all its
// waiting requests. Sent to an engine, it could only end as unknown.
BOOST_AUTO_TEST_CASE(aRequestCompletedAfterTheDeadlineIsNotDispatched)
{
    RawCaller first { lagoon::framework::Endpoint(fleet.callers()) };
    sendToStalledEngine(first, "s1");
    RawCaller late { lagoon::framework::Endpoint(fleet.callers()) };
    CallerRequest request { .target = "/model/1", .attempt = "late", .model = "warm" };
    request.body = "one half and the other";
    const std::string text = request.text();
    late.send(text.substr(0, text.size() - 5));
    sendSigterm();
    first.readUntil("504");
    late.send(text.substr(text.size() - 5));
    const CallerAnswer answer = parseAnswer(late.readToEnd());
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(fleet.router().waitForExit() == 0);
    BOOST_TEST(fleet.engine1.runs("late") + fleet.engine2.runs("late") == 0);
}

// Operators shorten the grace period and shut a router down immediately. If the router used the grace period that it
// has read before, it would be killed while it still holds requests.
BOOST_FIXTURE_TEST_CASE(aJustShortenedGracePeriodApplies, LongGracePeriodFixture)
{
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    waitUntilLoading(caller, "g1");
    fleet.setGrace(grace);
    fleet.writeRouterSettings(0);
    sendSigterm();
    checkRefusedAsNotRun(caller, "g1");
    checkCleanExit();
    BOOST_TEST(fleet.router().output().find("\"draining\",\"requests\":1,\"grace_ms\":4000") != std::string::npos);
}

// Callers keep connections to a router that shuts down. They must learn that they have to use another router: answers
// carry `Connection: close`, and idle connections are closed.
BOOST_FIXTURE_TEST_CASE(keepAliveConnectionsAreClosedDuringShutdown, LongGracePeriodFixture)
{
    RawCaller busy { lagoon::framework::Endpoint(fleet.callers()) };
    sendToStalledEngine(busy, "s1");
    RawCaller idle { lagoon::framework::Endpoint(fleet.callers()) };
    sendSigterm();
    RawCaller asking { lagoon::framework::Endpoint(fleet.callers()) };
    asking.send(CallerRequest { .target = "/nowhere/1", .attempt = "k1", .keepsAlive = true }.text());
    BOOST_TEST(asking.readToEnd().find("Connection: close") != std::string::npos);
    BOOST_TEST(idle.readToEnd().empty());
    // The idle connection is closed at its idle timeout, not when the requests in progress are cut.
    BOOST_TEST(fleet.router().output().find("this router ends") == std::string::npos);
    busy.disconnect();
    checkCleanExit();
}

BOOST_AUTO_TEST_SUITE_END()
