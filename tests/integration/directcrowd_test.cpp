#include "crowdchecks.h"
#include "fleet/runningfleet.h"
#include "support/record.h"

#include <algorithm>
#include <cpprest/json.h>
#include <string>
#include <vector>

using namespace lagoon::crowdtests;
using namespace lagoon::fleet;
using namespace lagoon::testsupport;

namespace {

constexpr std::size_t largeBody = 1000 * 1000;
constexpr std::size_t ordinaryBody = 900 * 1000;
const std::string target = "/post/1";
constexpr int streams = 700;
constexpr int streamTimeoutMs = 120000;

CrowdMessage almostWhole(const std::string& host) { return bodyOf(target, largeBody, largeBody - 1, host); }

CallerRequest streamRequest(const std::string& attempt, const std::string& model, int deadlineMs = 20000)
{
    return { .target = "/model/1", .attempt = attempt, .model = model, .deadlineMs = deadlineMs };
}

struct DirectCrowd : RunningFleet {
    bool isServed(std::size_t bytes = 4)
    {
        const CallerRequest request { .target = target,
            .attempt = "a" + std::to_string(++attempts_),
            .deadlineMs = 3000,
            .body = std::string(bytes, 'b') };
        return isWholeSuccess(exchangeOnce(fleet.callers(), request.text()));
    }

    bool isStreamed()
    {
        return isWholeSuccess(
            exchangeOnce(fleet.callers(), streamRequest("s" + std::to_string(++attempts_), "warm").text()));
    }

    /// Lets an engine write long streams to many callers at once.
    void allowStreams()
    {
        engine1.hold("warm");
        engine1.setStream(1000, 0);
        engine1.setPadding(1000);
        fleet.setSlots(streams);
        std::vector<web::json::value> routes = Fleet::defaultRoutes();
        routes.front()["timeout-ms"] = web::json::value::number(streamTimeoutMs);
        fleet.configure(routes);
        waitFor("a stream", [this] { return isStreamed(); });
    }

    Crowd crowdOfStreams()
    {
        return { fleet.callers(), streams,
            [](std::size_t index) {
                return CrowdMessage { streamRequest("crowd" + std::to_string(index), "warm", streamTimeoutMs).text() };
            } };
    }

    bool areStreamsRunning() { return engine1.totalRuns() > streams / 2; }

    void checkCallers(const Crowd& crowd, std::size_t bytes = 4)
    {
        checkServes(crowd, [&] { return isServed(bytes); });
        checkProcess(fleet.router(), routerMib, fleet.callers());
        checkProcess(fleet.agent(0), agentMib);
    }

    /// Sends crowds of all kinds to a port that isn't for callers.
    void checkPort(const std::string& endpoint, ChildProcess& process, double memoryMib)
    {
        for (const CrowdMessage& message : hostileMessages("/x")) {
            const Crowd crowd(endpoint, portClients, [&](std::size_t) { return message; });
            checkServes(crowd, [&] {
                return isWholeSuccess(
                    exchangeOnce(endpoint, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
            });
            checkProcess(process, memoryMib, endpoint);
        }
        BOOST_TEST(isReached([this] { return isServed(); }));
    }

private:
    static bool isWholeSuccess(const std::string& received)
    {
        const CallerAnswer answer = parseAnswer(received);
        return answer.status == 200 && answer.isComplete;
    }

    int attempts_ = 0;
};

struct FewDescriptors : DirectCrowd {
    FewDescriptors()
    {
        fleet.stop();
        fleet.setProcessOptions({ .limits = { { RLIMIT_NOFILE, descriptors } } });
        fleet.start();
    }

    void checkDescriptors(const Crowd& crowd)
    {
        lagoon::crowdtests::checkDescriptors(crowd, fleet.router());
        checkCallers(crowd);
    }
};

struct LittleMemory : DirectCrowd {
    LittleMemory()
    {
        fleet.stop();
        fleet.setMemory(memoryMb);
        fleet.start();
    }

    static constexpr int memoryMb = 96;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrowdsOfDirectCallers, DirectCrowd)

// Prevents the end of a router for want of memory, to which callers send requests of every kind that don't end.
BOOST_AUTO_TEST_CASE(endlessRequests)
{
    for (const CrowdMessage& message : hostileMessages(target)) {
        const Crowd crowd(fleet.callers(), 50, [&](std::size_t) { return message; });
        checkCallers(crowd);
    }
}

// Prevents callers from shutting out others of their customer by bodies that stop just short of their end.
BOOST_AUTO_TEST_CASE(unfinishedBodiesOfOneHost)
{
    const Crowd crowd(fleet.callers(), 24, [](std::size_t) { return almostWhole("callers.example"); });
    checkCallers(crowd, ordinaryBody);
}

// Prevents callers from shutting out all others by naming a host each.
BOOST_AUTO_TEST_CASE(unfinishedBodiesOfManyHosts)
{
    const Crowd crowd(
        fleet.callers(), 60, [](std::size_t index) { return almostWhole("host-" + std::to_string(index)); });
    checkCallers(crowd, ordinaryBody);
}

// Prevents the end of a router or a shut-out of other callers by large answers that nobody reads.
BOOST_AUTO_TEST_CASE(unreadAnswers)
{
    for (PlainStandin* server : { &plain1, &plain2 })
        server->setPadding(3 * largeBody);
    const Crowd crowd(fleet.callers(), 150, [](std::size_t index) {
        return CrowdMessage { CallerRequest { .method = "GET",
            .target = "/get/1",
            .attempt = "crowd" + std::to_string(index),
            .deadlineMs = 10000,
            .keepsAlive = true }
                                  .text() };
    });
    checkCallers(crowd);
}

// Prevents callers from shutting out others by streams that nobody reads.
BOOST_AUTO_TEST_CASE(unreadStreams)
{
    allowStreams();
    const Crowd crowd = crowdOfStreams();
    waitFor("the streams of the crowd", [this] { return areStreamsRunning(); });
    checkCallers(crowd, ordinaryBody);
}

// Prevents the end of a router or a shut-out of other callers by many large bodies whose answers nobody reads.
BOOST_AUTO_TEST_CASE(wholeBodies)
{
    const Crowd crowd(fleet.callers(), 100, [](std::size_t index) {
        return bodyOf(target, 4 * largeBody, 4 * largeBody, "host-" + std::to_string(index));
    });
    checkCallers(crowd, ordinaryBody);
}

// Prevents callers from filling the log by requests for which there is no route.
BOOST_AUTO_TEST_CASE(requestsWithoutRoute)
{
    constexpr int requests = 2000;
    std::string ahead;
    for (int request = 1; request <= requests; ++request)
        ahead += CallerRequest { .target = "/nowhere", .attempt = "a", .keepsAlive = request < requests }.text();
    BOOST_TEST(!exchangeOnce(fleet.callers(), ahead).empty());
    BOOST_TEST(metricAt(fleet.ops(0), "lagoon_not_routed_total{status=\"404\"}") == requests);
    const std::string lines = fleet.logLinesContaining("\"not_routed\"");
    BOOST_TEST(std::count(lines.begin(), lines.end(), '\n') < requests / 2);
}

// Prevents the end of a router for want of memory, or a port that answers nobody.
BOOST_AUTO_TEST_CASE(readinessPort) { checkPort(fleet.readiness(0), fleet.router(), routerMib); }
BOOST_AUTO_TEST_CASE(routerOpsPort) { checkPort(fleet.ops(0), fleet.router(), routerMib); }
BOOST_AUTO_TEST_CASE(agentOpsPort) { checkPort(fleet.agent(0).readyText("ops"), fleet.agent(0), agentMib); }

// Prevents the end of an agent for want of memory, to which peers send long frames that stop just short of their end.
BOOST_AUTO_TEST_CASE(agentLinkPort)
{
    const Crowd crowd(
        fleet.agent(0).readyText("link"), 60, [](std::size_t) { return frameOf(longestFrame, longestFrame - 1); });
    checkServes(crowd, [this] { return isServed(); });
    checkProcess(fleet.agent(0), agentMib);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(CrowdsThatOccupyDescriptors, FewDescriptors)

// Prevents callers from shutting out others by connections that stop within a request's head.
BOOST_AUTO_TEST_CASE(unfinishedHeads)
{
    const Crowd crowd(fleet.callers(), manyConnections, [](std::size_t) { return CrowdMessage { "POST /post" }; });
    checkDescriptors(crowd);
}

// Prevents callers from shutting out others by connections that stop within a small body.
BOOST_AUTO_TEST_CASE(unfinishedSmallBodies)
{
    const Crowd crowd(fleet.callers(), manyConnections, [](std::size_t) { return bodyOf(target, 100, 10); });
    checkDescriptors(crowd);
}

// Prevents callers from shutting out others by connections on which they don't read their refusals.
BOOST_AUTO_TEST_CASE(refusedCallers)
{
    const Crowd crowd(
        fleet.callers(), manyConnections, [](std::size_t) { return bodyOf(target, 100 * longestFrame, longestFrame); });
    checkDescriptors(crowd);
}

// Prevents peers of the readiness and ops ports from taking the descriptors that callers need.
BOOST_AUTO_TEST_CASE(otherPorts)
{
    const auto unfinished = [](std::size_t) { return CrowdMessage { "GET /x" }; };
    const Crowd readiness(fleet.readiness(0), manyConnections, unfinished);
    const Crowd ops(fleet.ops(0), manyConnections, unfinished);
    checkDescriptors(readiness);
    BOOST_TEST(isReached([this] { return fleet.isReady(); }));
}

// Prevents peers of an agent's ports from shutting out the routers.
BOOST_AUTO_TEST_CASE(agentPorts)
{
    const Crowd ops(
        fleet.agent(0).readyText("ops"), manyConnections, [](std::size_t) { return CrowdMessage { "GET /x" }; });
    const Crowd links(
        fleet.agent(0).readyText("link"), manyConnections, [](std::size_t) { return frameOf(longestFrame, 10); });
    lagoon::crowdtests::checkDescriptors(links, fleet.agent(0));
    fleet.startRouter(0);
    BOOST_TEST(isReached([this] { return fleet.router().output().find("\"agent_heard\"") != std::string::npos; }));
    BOOST_TEST(isReached([this] { return isServed(); }));
    checkProcess(fleet.agent(0), agentMib);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(CrowdsAtRoutersWithLittleMemory, LittleMemory)

// Prevents the end of a router for want of memory by callers that send ahead while their requests wait.
BOOST_AUTO_TEST_CASE(bytesSentAhead)
{
    engine1.setLoadsStalled(true);
    engine2.setLoadsStalled(true);
    const Crowd crowd(fleet.callers(), 700, [](std::size_t index) {
        const CallerRequest request = streamRequest("crowd" + std::to_string(index), "cold");
        return CrowdMessage { request.text() + std::string(largeBody, 'x') };
    });
    checkServes(crowd, [this] { return isServed(); });
    checkProcess(fleet.router(), memoryMb, fleet.callers());
}

// Prevents the end of a router for want of memory by streams that begin at once and that nobody reads.
BOOST_AUTO_TEST_CASE(unreadStreamsAtOnce)
{
    allowStreams();
    const Crowd crowd = crowdOfStreams();
    waitFor("the streams of the crowd", [this] { return areStreamsRunning(); });
    checkServes(crowd, [this] { return isServed(); });
    checkProcess(fleet.router(), memoryMb, fleet.callers());
}

// Prevents the end of a router for want of memory by requests that name a model of their own each.
BOOST_AUTO_TEST_CASE(namesOfModels)
{
    constexpr std::size_t clients = 600;
    constexpr std::size_t requests = 8;
    const std::string longName(14000, 'm');
    const Crowd crowd(fleet.callers(), clients, [&](std::size_t index) {
        CrowdMessage message;
        for (std::size_t request = 0; request < requests; ++request) {
            const std::string number = std::to_string(index * requests + request);
            CallerRequest one = streamRequest("crowd" + number, number + longName);
            one.keepsAlive = true;
            message.begin += one.text();
        }
        return message;
    });
    waitFor("the refusals", [this] {
        const std::string ops = fleet.ops(0);
        return metricSumAt(ops, "lagoon_not_routed_total") + metricSumAt(ops, "lagoon_forwarded_total")
            >= clients * requests;
    });
    BOOST_TEST(isServed());
    checkProcess(fleet.router(), memoryMb, fleet.callers());
    checkProcess(fleet.agent(0), agentMib);
}

// Prevents the end of a router for want of memory by more connections than it has memory for.
BOOST_AUTO_TEST_CASE(openConnections)
{
    constexpr std::size_t most = 800;
    const Crowd crowd(fleet.callers(), 900, [](std::size_t) { return CrowdMessage { "POST /post" }; });
    BOOST_TEST(crowd.isSettled());
    BOOST_TEST(usageOf(fleet.router().pid()).openDescriptors < most);
    checkProcess(fleet.router(), memoryMb, fleet.callers());
    BOOST_TEST(isReached([this] { return isServed(); }));
}

BOOST_AUTO_TEST_SUITE_END()
