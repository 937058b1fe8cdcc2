#include "fleet/runningfleet.h"
#include "fleet/streamevents.h"
#include "http/testing/rawcaller.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lagoon::fleet;
using lagoon::framework::Endpoint;
using lagoon::http::testing::RawCaller;
using lagoon::testsupport::waitFor;

namespace {

constexpr int streamLength = 12;
constexpr int eventPauseMs = 10;
constexpr std::size_t routers = 3;
constexpr int shortDeadlineMs = 900;

/// A caller that takes its stream up at any router until it has all of it.
struct StreamCaller {
    std::string attempt;
    ReceivedStream stream;

    /// `number` distinguishes the caller's tries.
    CallerRequest request(int number, int deadlineMs = 8000) const
    {
        CallerRequest made;
        made.target = "/resume/1";
        made.attempt = number == 1 ? attempt : attempt + "-" + std::to_string(number);
        made.model = "warm";
        made.deadlineMs = deadlineMs;
        // Routers prefer other engines for other prompts, so that tries reach engines of all versions.
        made.prompt = made.attempt + ":60";
        if (stream.lastId() > 0)
            made.headers = { { "Resumes", attempt }, { "Last-Event-Id", std::to_string(stream.lastId()) } };
        return made;
    }
};

/// Several routers, and four engines of two versions that all have the model.
struct TwoVersions : RunningFleet {
    TwoVersions()
    {
        for (const std::size_t index : { 2U, 3U }) {
            fleet.addEngine();
            fleet.startAgent(index);
        }
        for (std::size_t index = 0; index < fleet.engines(); ++index) {
            EngineStandin& engine = fleet.engine(index);
            engine.setVersion(index % 2 == 0 ? "v1" : "v2");
            engine.setStream(streamLength, eventPauseMs);
            engine.hold("warm");
            fleet.list(engine, "engines");
        }
        for (std::size_t router = 1; router < routers; ++router)
            fleet.startRouter(router);
        for (std::size_t router = 0; router < routers; ++router)
            waitUntilAllEnginesServe(router);
    }

    /// Waits until the router has heard from the agents of all engines that they have the model.
    void waitUntilAllEnginesServe(std::size_t router)
    {
        const std::string candidates = "\"candidates\":" + std::to_string(fleet.engines());
        waitFor("the router to know all engines", [&] {
            fleet.call({ .target = "/resume/1", .attempt = nextAttempt(), .model = "warm" }, router);
            return fleet.router(router).output().find(candidates) != std::string::npos;
        });
    }

    std::string nextAttempt() { return "a" + std::to_string(++attempts_); }

    int runs(const std::string& attempt)
    {
        int all = 0;
        for (std::size_t index = 0; index < fleet.engines(); ++index)
            all += fleet.engine(index).runs(attempt);
        return all;
    }

    /// Receives the stream until this event at the first router, and closes the connection there.
    void begin(StreamCaller& caller, int lastEvent, std::size_t router)
    {
        RawCaller connection { Endpoint(fleet.callers(router)) };
        connection.send(caller.request(1).text());
        BOOST_REQUIRE(connection.readUntil("word" + std::to_string(lastEvent) + " "));
        caller.stream.add(parseEvents(parseAnswer(connection.received()).body));
    }

    CallerAnswer takeUp(StreamCaller& caller, int number, std::size_t router)
    {
        CallerAnswer answer = fleet.call(caller.request(number), router);
        if (answer.status == 200)
            caller.stream.add(parseEvents(answer.body));
        return answer;
    }

    /// Ends each engine but those of the version, without notice.
    void unlistAllBut(const std::string& version)
    {
        for (std::size_t index = 0; index < fleet.engines(); ++index) {
            if (fleet.engine(index).version() != version)
                store.remove("servers", fleet.engine(index).instance());
        }
    }

    void killAllRouters()
    {
        for (std::size_t router = 0; router < routers; ++router)
            fleet.router(router).kill();
    }

    void startAllRouters()
    {
        for (std::size_t router = 0; router < routers; ++router)
            fleet.startRouter(router);
    }

    /// Ends each process that knows where streams were sent, and starts it again.
    void restartAll()
    {
        killAllRouters();
        for (std::size_t agent = 0; agent < fleet.engines(); ++agent)
            fleet.startAgent(agent);
        startAllRouters();
    }

    /// Waits until the router serves a new stream.
    void waitUntilServed(std::size_t router)
    {
        waitFor("new streams to be served", [&] {
            return fleet.call(StreamCaller { nextAttempt(), {} }.request(1, shortDeadlineMs), router).status == 200;
        });
    }

    /// Waits until all routers' logs have the text so many times.
    void waitForLogs(const std::string& text, std::size_t times)
    {
        for (std::size_t router = 0; router < routers; ++router) {
            waitFor("\"" + text + "\" in the routers' logs", [&] {
                const std::string log = fleet.router(router).output();
                std::size_t count = 0;
                for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
                    ++count;
                return count >= times;
            });
        }
    }

private:
    int attempts_ = 0;
};

bool isWhole(const StreamCaller& caller) { return caller.stream.isInOrder() && caller.stream.lastId() == streamLength; }

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamVersions, TwoVersions)

// Prevents an answer with events of two versions when its first server breaks off.
BOOST_AUTO_TEST_CASE(aCutStreamGoesOnOnlyAtItsVersion)
{
    int continued = 0;
    waitFor("streams that go on after a cut", [&] {
        StreamCaller caller { nextAttempt(), {} };
        engine1.cutStreamAt(8);
        const CallerAnswer answer = fleet.call(caller.request(1));
        caller.stream.add(parseEvents(answer.body));
        BOOST_TEST(answer.isComplete);
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
        continued += runs(caller.attempt) == 2 ? 1 : 0;
        return continued >= 6;
    });
}

// Prevents a stream from waiting for, or going on at, another version when its own has no server left.
BOOST_AUTO_TEST_CASE(aCutStreamIsBrokenOffIfItsVersionHasNoServerLeft)
{
    fleet.engine(2).setVersion("v2");
    fleet.list(fleet.engine(2), "engines");
    waitForLogs("server_changed", 1);
    int brokenOff = 0;
    waitFor("streams that are broken off", [&] {
        StreamCaller caller { nextAttempt(), {} };
        engine1.cutStreamAt(8);
        const CallerAnswer answer = fleet.call(caller.request(1));
        caller.stream.add(parseEvents(answer.body));
        BOOST_TEST(caller.stream.versions().size() == 1u);
        brokenOff += answer.isComplete ? 0 : 1;
        return brokenOff >= 3;
    });
}

// Prevents a request from being tied to the version of a server that has brought nothing.
BOOST_AUTO_TEST_CASE(beforeItsFirstEventAStreamMayMoveToAnyVersion)
{
    int moved = 0;
    waitFor("streams that move to the other version", [&] {
        StreamCaller caller { nextAttempt(), {} };
        engine1.dropNext(1);
        const CallerAnswer answer = fleet.call(caller.request(1));
        engine1.dropNext(0);
        caller.stream.add(parseEvents(answer.body));
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
        moved += runs(caller.attempt) == 2 && caller.stream.versions().contains("v2") ? 1 : 0;
        return moved >= 2;
    });
}

// Prevents a stream from being taken up at the version of a server that had brought none of its events.
BOOST_AUTO_TEST_CASE(aMovedStreamIsTakenUpAtTheVersionOfItsEvents)
{
    int moved = 0;
    waitFor("streams that move to the other version and are taken up", [&] {
        StreamCaller caller { nextAttempt(), {} };
        engine1.dropNext(1);
        begin(caller, 3, 0);
        engine1.dropNext(0);
        const CallerAnswer answer = takeUp(caller, 2, 1);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
        moved += engine1.runs(caller.attempt) == 1 && caller.stream.versions().contains("v2") ? 1 : 0;
        return moved >= 2;
    });
}

// Prevents a caller from receiving another version's events when it takes its stream up at another router.
BOOST_AUTO_TEST_CASE(aStreamIsTakenUpAtItsVersionAtAnyRouter)
{
    constexpr int streams = 30;
    for (int number = 0; number < streams; ++number) {
        StreamCaller caller { nextAttempt(), {} };
        begin(caller, 3, static_cast<std::size_t>(number) % routers);
        const CallerAnswer answer = takeUp(caller, 2, static_cast<std::size_t>(number + 1) % routers);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
    }
}

// Prevents a stream's version from being known to its first router alone, which has been killed.
BOOST_AUTO_TEST_CASE(aStreamOfAKilledRouterIsTakenUpAtItsVersion)
{
    constexpr int rounds = 6;
    for (int round = 0; round < rounds; ++round) {
        StreamCaller caller { nextAttempt(), {} };
        RawCaller connection { Endpoint(fleet.callers(2)) };
        connection.send(caller.request(1).text());
        BOOST_REQUIRE(connection.readUntil("word2 "));
        fleet.router(2).kill();
        connection.readToEnd();
        caller.stream.add(parseEvents(parseAnswer(connection.received()).body));
        const CallerAnswer answer = takeUp(caller, 2, static_cast<std::size_t>(round) % 2);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
        fleet.startRouter(2);
        waitUntilAllEnginesServe(2);
    }
}

// Prevents a caller that takes a stream up several times from receiving another version's events at the last.
BOOST_AUTO_TEST_CASE(aStreamIsTakenUpAgainAndAgain)
{
    constexpr int streams = 10;
    for (int number = 0; number < streams; ++number) {
        StreamCaller caller { nextAttempt(), {} };
        begin(caller, 2, 0);
        for (int attempt = 2; attempt <= 4; ++attempt) {
            RawCaller connection { Endpoint(fleet.callers(static_cast<std::size_t>(attempt) % routers)) };
            connection.send(caller.request(attempt).text());
            BOOST_REQUIRE(connection.readUntil("word" + std::to_string(caller.stream.lastId() + 2) + " "));
            caller.stream.add(parseEvents(parseAnswer(connection.received()).body));
        }
        BOOST_TEST(takeUp(caller, 5, 0).status == 200);
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
    }
}

// Prevents a guess where nobody knows which version began a stream.
BOOST_AUTO_TEST_CASE(aStreamOfUnknownVersionIsRefusedAtOnceAsNotRun)
{
    CallerRequest unknown { .target = "/resume/1", .attempt = "u1", .model = "warm", .deadlineMs = 8000 };
    unknown.headers = { { "Resumes", "never-seen" }, { "Last-Event-Id", "5" } };
    CallerRequest unnamed { .target = "/resume/1", .attempt = "u2", .model = "warm", .deadlineMs = 8000 };
    unnamed.headers = { { "Last-Event-Id", "5" } };
    for (const CallerRequest& request : { unknown, unnamed }) {
        const auto sentAt = std::chrono::steady_clock::now();
        const CallerAnswer answer = fleet.call(request, 1);
        BOOST_REQUIRE(answer.status == 503);
        BOOST_TEST(!answer.headers.at("Retry-After").empty());
        BOOST_TEST(runs(request.attempt) == 0);
        BOOST_TEST((std::chrono::steady_clock::now() - sentAt < std::chrono::seconds(2)));
    }
}

// Prevents a stream from waiting until its deadline for a version that no server has any more.
BOOST_AUTO_TEST_CASE(aStreamWhoseVersionHasNoServerLeftIsRefusedAtOnce)
{
    StreamCaller caller { nextAttempt(), {} };
    begin(caller, 3, 0);
    const std::string version = *caller.stream.versions().begin();
    unlistAllBut(version == "v1" ? "v2" : "v1");
    waitForLogs("server_unlisted", 2);
    const auto sentAt = std::chrono::steady_clock::now();
    const CallerAnswer answer = takeUp(caller, 2, 1);
    BOOST_REQUIRE(answer.status == 503);
    BOOST_TEST(!answer.headers.at("Retry-After").empty());
    BOOST_TEST(runs(caller.attempt + "-2") == 0);
    BOOST_TEST((std::chrono::steady_clock::now() - sentAt < std::chrono::seconds(2)));
}

// Prevents a stream from being lost with its first router while that stands still.
BOOST_AUTO_TEST_CASE(aStreamOfAPausedRouterIsTakenUpAtItsVersion)
{
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        StreamCaller caller { nextAttempt(), {} };
        RawCaller connection { Endpoint(fleet.callers(2)) };
        connection.send(caller.request(1).text());
        BOOST_REQUIRE(connection.readUntil("word2 "));
        fleet.router(2).sendSignal(SIGSTOP);
        caller.stream.add(parseEvents(parseAnswer(connection.received()).body));
        const CallerAnswer answer = takeUp(caller, 2, static_cast<std::size_t>(round) % 2);
        fleet.router(2).sendSignal(SIGCONT);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
    }
}

// Prevents a router that was started again from guessing what it began before.
BOOST_AUTO_TEST_CASE(aRestartedRouterTakesItsStreamsUpAtTheirVersion)
{
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        StreamCaller caller { nextAttempt(), {} };
        begin(caller, 3, 2);
        fleet.startRouter(2);
        waitUntilAllEnginesServe(2);
        const CallerAnswer answer = takeUp(caller, 2, 2);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
    }
}

// Prevents a refusal where the router that began the stream is still there to tell agents that were started again.
BOOST_AUTO_TEST_CASE(agentsThatWereStartedAgainAreToldByLiveRouters)
{
    StreamCaller caller { nextAttempt(), {} };
    begin(caller, 3, 0);
    for (std::size_t agent = 0; agent < fleet.engines(); ++agent)
        fleet.startAgent(agent);
    CallerAnswer answer;
    waitFor("the agents to be told", [&] {
        answer = takeUp(caller, 2, 1);
        return answer.status == 200;
    });
    BOOST_TEST(isWhole(caller));
    BOOST_TEST(caller.stream.versions().size() == 1u);
}

// Prevents a guess where all who knew the stream's version have ended.
BOOST_AUTO_TEST_CASE(aStreamIsRefusedIfItsRouterAndAllAgentsWereStartedAgain)
{
    StreamCaller caller { nextAttempt(), {} };
    begin(caller, 3, 0);
    fleet.router(0).kill();
    for (std::size_t agent = 0; agent < fleet.engines(); ++agent)
        fleet.startAgent(agent);
    BOOST_TEST(takeUp(caller, 2, 1).status == 503);
    BOOST_TEST(runs(caller.attempt + "-2") == 0);
    waitFor("new streams to be served", [&] {
        return fleet.call(StreamCaller { nextAttempt(), {} }.request(1), 1).status == 200;
    });
    BOOST_TEST(takeUp(caller, 3, 1).status == 503);
    BOOST_TEST(runs(caller.attempt + "-3") == 0);
}

// Prevents a stream from going on at the only version that is left, once routers that were all killed at once have seen
// no other for longer than the routes' timeouts: their callers may have waited for longer before.
BOOST_AUTO_TEST_CASE(theOnlyVersionLeftIsNotTakenForThatOfAnUnknownStream)
{
    auto routes = Fleet::defaultRoutes();
    for (auto& route : routes)
        route["timeout-ms"] = web::json::value::number(1000);
    fleet.configure(routes);
    StreamCaller caller { nextAttempt(), {} };
    begin(caller, 3, 0);
    unlistAllBut(*caller.stream.versions().begin() == "v1" ? "v2" : "v1");
    restartAll();
    for (std::size_t router = 0; router < routers; ++router)
        waitUntilServed(router);
    // Longer than the timeouts and the delays with which a router learns of servers.
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    CallerRequest unnamed = caller.request(2, shortDeadlineMs);
    unnamed.attempt = "unnamed";
    unnamed.headers.erase("Resumes");
    BOOST_TEST(fleet.call(unnamed, 1).status == 503);
    BOOST_TEST(runs(unnamed.attempt) == 0);
    for (std::size_t router = 0; router < routers; ++router) {
        const int number = static_cast<int>(router) + 3;
        BOOST_TEST(fleet.call(caller.request(number, shortDeadlineMs), router).status == 503);
        BOOST_TEST(runs(caller.attempt + "-" + std::to_string(number)) == 0);
    }
}

// Prevents streams from being lost, or joined from two versions, when all routers are killed at once.
BOOST_AUTO_TEST_CASE(streamsAreTakenUpAtTheirVersionAfterAllRoutersWereKilled)
{
    constexpr std::size_t streams = 12;
    std::vector<StreamCaller> callers;
    for (std::size_t number = 0; number < streams; ++number) {
        callers.push_back({ nextAttempt(), {} });
        begin(callers.back(), 3, number % routers);
    }
    killAllRouters();
    startAllRouters();
    for (std::size_t number = 0; number < streams; ++number) {
        StreamCaller& caller = callers[number];
        int attempt = 1;
        // Routers that have just started may know neither servers nor agents yet.
        waitFor("the stream to be taken up", [&] {
            ++attempt;
            return takeUp(caller, attempt, (number + static_cast<std::size_t>(attempt)) % routers).status == 200;
        });
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
    }
}

// Prevents the version that is left from being taken for that of streams whose servers left while all routers were
// down.
BOOST_AUTO_TEST_CASE(streamsOfServersThatLeftWhileAllRoutersWereDownAreRefused)
{
    StreamCaller caller { nextAttempt(), {} };
    begin(caller, 3, 0);
    const std::string version = *caller.stream.versions().begin();
    killAllRouters();
    unlistAllBut(version == "v1" ? "v2" : "v1");
    startAllRouters();
    for (std::size_t router = 0; router < routers; ++router) {
        waitUntilServed(router);
        const int number = static_cast<int>(router) + 2;
        BOOST_TEST(takeUp(caller, number, router).status == 503);
        BOOST_TEST(runs(caller.attempt + "-" + std::to_string(number)) == 0);
    }
}

// Prevents a router that was paused during a release from going on with a stream at a version that it takes for the
// only one.
BOOST_AUTO_TEST_CASE(aRouterThatWasPausedDuringAReleaseJoinsNoVersions)
{
    StreamCaller caller { nextAttempt(), {} };
    begin(caller, 3, 0);
    const std::string version = *caller.stream.versions().begin();
    fleet.router(2).sendSignal(SIGSTOP);
    fleet.router(0).kill();
    fleet.router(1).kill();
    unlistAllBut(version == "v1" ? "v2" : "v1");
    fleet.startRouter(0);
    fleet.startRouter(1);
    waitUntilServed(0);
    fleet.router(2).sendSignal(SIGCONT);
    for (int number = 2; number < 6; ++number) {
        (void)takeUp(caller, number, 2);
        BOOST_TEST(caller.stream.versions().size() == 1u);
    }
}

// Prevents a router that stood still while servers of another version joined from going on with their streams at a
// version that it knows.
BOOST_AUTO_TEST_CASE(aRouterThatStoodStillWhileAVersionJoinedJoinsNoVersions)
{
    constexpr std::size_t streams = 4;
    fleet.router(2).sendSignal(SIGSTOP);
    for (int added = 0; added < 2; ++added) {
        EngineStandin& engine = fleet.addEngine();
        engine.setVersion("v3");
        engine.setStream(streamLength, eventPauseMs);
        engine.hold("warm");
        fleet.startAgent(fleet.engines() - 1);
        fleet.list(engine, "engines");
    }
    std::vector<StreamCaller> callers;
    waitFor("streams at the version that joined", [&] {
        StreamCaller caller { nextAttempt(), {} };
        begin(caller, 3, 0);
        if (caller.stream.versions().contains("v3"))
            callers.push_back(std::move(caller));
        return callers.size() == streams;
    });
    fleet.router(2).sendSignal(SIGCONT);
    int number = 2;
    for (StreamCaller& caller : callers) {
        (void)takeUp(caller, number, 2);
        BOOST_TEST(caller.stream.versions().size() == 1u);
    }
    // Once it has caught up, the streams go on there.
    waitFor("the streams to go on", [&] {
        ++number;
        return std::all_of(callers.begin(), callers.end(), [&](StreamCaller& caller) {
            return caller.stream.lastId() == streamLength || takeUp(caller, number, 2).status == 200;
        });
    });
    for (const StreamCaller& caller : callers)
        BOOST_TEST(caller.stream.versions().size() == 1u);
}

// Prevents a guess, or a wait until the deadline, at a router that reaches no agent.
BOOST_AUTO_TEST_CASE(withoutAgentsOnlyItsOwnRouterTakesAStreamUp)
{
    StreamCaller own { nextAttempt(), {} };
    StreamCaller other { nextAttempt(), {} };
    begin(own, 3, 0);
    begin(other, 3, 0);
    for (std::size_t agent = 0; agent < fleet.engines(); ++agent)
        fleet.agent(agent).kill();
    const auto sentAt = std::chrono::steady_clock::now();
    BOOST_TEST(takeUp(other, 2, 1).status == 503);
    BOOST_TEST((std::chrono::steady_clock::now() - sentAt < std::chrono::seconds(2)));
    BOOST_TEST(runs(other.attempt + "-2") == 0);
    const CallerAnswer answer = takeUp(own, 2, 0);
    BOOST_TEST(answer.status != 502);
    BOOST_TEST(own.stream.versions().size() == 1u);
}

// Prevents streams from being refused while the store is away: agents still tell which servers run.
BOOST_AUTO_TEST_CASE(streamsAreTakenUpWhileTheStoreIsAway)
{
    store.setUnavailable(true);
    // Longer than the list alone vouches for a server's version.
    std::this_thread::sleep_for(std::chrono::milliseconds(3500));
    constexpr int streams = 6;
    for (int number = 0; number < streams; ++number) {
        StreamCaller caller { nextAttempt(), {} };
        begin(caller, 3, 0);
        BOOST_TEST(takeUp(caller, 2, 1).status == 200);
        BOOST_TEST(isWhole(caller));
        BOOST_TEST(caller.stream.versions().size() == 1u);
    }
    store.setUnavailable(false);
}

BOOST_AUTO_TEST_SUITE_END()
