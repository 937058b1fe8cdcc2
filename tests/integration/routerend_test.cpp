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

/// For callers who wait longer for their first event than a load takes.
web::json::value slowLoadRoute()
{
    web::json::value route = Fleet::route("/model/", "streaming", "engines");
    route["target-latency-ms"] = web::json::value::number(5000);
    return route;
}

/// A router whose grace period is shorter than a load, before engines that are still loading when it is over.
struct RouterShutdownFixture {
    explicit RouterShutdownFixture(lagoon::framework::Milliseconds time = grace)
    {
        fleet.setGrace(time);
        fleet.setLoadTime(lagoon::framework::Milliseconds(6000));
        fleet.configure({ slowLoadRoute() });
        fleet.start();
        fleet.engine1.setLoadsHeld(true);
        fleet.engine2.setLoadsHeld(true);
    }
    ~RouterShutdownFixture() { fleet.stop(); }

    int orders() const { return fleet.engine1.orders() + fleet.engine2.orders(); }

    void sendSigterm()
    {
        fleet.router().sendSignal(SIGTERM);
        waitFor("the router to say that it isn't ready", [this] { return !fleet.isReady(); });
    }

    void send(RawCaller& caller, const std::string& attempt, const std::string& model)
    {
        caller.send(CallerRequest { .target = "/model/1", .attempt = attempt, .model = model }.text());
    }

    /// A stream that an engine has begun and brings no event of.
    void sendToStalledEngine(RawCaller& caller, const std::string& attempt)
    {
        fleet.engine1.setStream(3, 60000);
        send(caller, attempt, "warm");
        waitFor("the engine to begin it", [&] { return fleet.engine1.runs(attempt) == 1; });
    }

    void waitUntilLoading(RawCaller& caller, const std::string& attempt)
    {
        const int before = orders();
        send(caller, attempt, "cold");
        waitFor("the model to be ordered", [&] { return orders() > before; });
    }

    /// A refusal that is whole, says that the request hasn't run, and when to come back.
    void checkRefusedAsNotRun(RawCaller& caller, const std::string& attempt)
    {
        const CallerAnswer answer = parseAnswer(caller.readToEnd());
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.isComplete);
        BOOST_REQUIRE(answer.headers.contains("Retry-After"));
        // Another router may load it as well, so there is nothing to wait for.
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

/// As long as nothing of a test depends on its grace period's end.
struct LongGracePeriodFixture : RouterShutdownFixture {
    LongGracePeriodFixture()
        : RouterShutdownFixture(lagoon::framework::Milliseconds(60000))
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARouterAnswersAllRequestsBeforeItExits, RouterShutdownFixture)

// A hostmaster's review waited for its model when its router was told to end, as in a planned restart. The load took
// longer than the router's grace period, and the review's deadline was later still. The router kept it, and at the end
// closed its connection: neither an answer nor a refusal, so its caller couldn't know that it was free to ask
// elsewhere. Cause: the end of the process was no deadline of the requests that it held. Shown by the router's log:
// such requests had neither a `sent` nor an `ended` line, and all that were lost were `unanswered` as waiting for a
// load.
BOOST_AUTO_TEST_CASE(aRequestThatWaitsForALoadIsRefusedAsNotRun)
{
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    waitUntilLoading(caller, "w1");
    sendSigterm();
    checkRefusedAsNotRun(caller, "w1");
    checkCleanExit();
}

// As above for a review that came after the signal, in the seconds in which balancers haven't noticed yet.
BOOST_AUTO_TEST_CASE(aRequestReceivedAfterSigtermIsRefusedAsNotRun)
{
    sendSigterm();
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    send(caller, "l1", "cold");
    checkRefusedAsNotRun(caller, "l1");
    checkCleanExit();
}

// The VM of a router that was being ended stood still until the grace period was over. When it went on, the process
// found its time up and ended over the requests that waited, before it had come to refuse them.
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

// An engine had begun a stream and brought no event of it when its router ended. The caller, who had seen nothing at
// all, found its connection closed. It may have run, so it gets the answer that says so.
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

// A stream that is still under way at the end is broken off: what its caller has must not look whole.
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

// The host of a router was stopped for a while in its last seconds, as when a VM is moved. When it went on, the time of
// its requests had passed as well as its own, and it went without the refusals that it had promised.
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

// A member was still sending a long request when its router ended, and found the connection closed at a moment at which
// the router had most of its grace period left.
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

// The rest of a request came when the router had just refused all that it held. It was handed to an engine with no time
// left, and its caller heard that it may have run.
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

// Operators shortened the grace period and ended a router at once. It went by the time that it had read before, and was
// ended by force over the requests that it still held.
BOOST_FIXTURE_TEST_CASE(aJustShortenedGracePeriodApplies, LongGracePeriodFixture)
{
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    waitUntilLoading(caller, "g1");
    fleet.setGrace(grace);
    fleet.writeRouterSettings(0);
    sendSigterm();
    checkRefusedAsNotRun(caller, "g1");
    BOOST_TEST(fleet.router().output().find("\"draining\",\"requests\":1,\"grace_ms\":4000") != std::string::npos);
    checkCleanExit();
}

// Callers kept their connections to a router that was being stopped, and sent their next requests there until it went:
// neither an answer nor the end of what was idle had told them to go elsewhere.
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
    // It ended when balancers had noticed, not with the requests that were still under way.
    BOOST_TEST(fleet.router().output().find("this router ends") == std::string::npos);
    busy.hangUp();
    checkCleanExit();
}

BOOST_AUTO_TEST_SUITE_END()
