#include "crowdchecks.h"
#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <memory>
#include <string>
#include <vector>

using namespace lagoon::crowdtests;
using namespace lagoon::testsupport;

namespace {

const std::string target = "/services/slots/x";
constexpr std::size_t wholeBody = 8 * 1000 * 1000;

struct RouterCrowd {
    RouterCrowd()
        : RouterCrowd(ProcessOptions())
    {
    }

    explicit RouterCrowd(const ProcessOptions& options)
    {
        deployment.setProcessOptions(options);
        deployment.addUpstream("cpu-1", { .kind = UpstreamKind::Service, .pool = "kiosks" });
        deployment.addRouter("entry-1");
        deployment.rollOut(BundleBuilder(1).servicePool("kiosks", "old").service("slots", { "kiosks" }).text());
        deployment.waitUntilReady();
        BOOST_TEST_REQUIRE(isReached([this] { return isServed(); }));
    }

    ChildProcess& router() { return *deployment.router("entry-1").process; }
    ChildProcess& agent() { return *deployment.upstream("cpu-1").agent; }
    std::string callers() { return deployment.router("entry-1").callers(); }

    bool isServed()
    {
        const std::string request = "POST " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            + "X-Lagoon-Timeout-Ms: 3000\r\nContent-Length: 2\r\n\r\n{}";
        return exchangeOnce(callers(), request).starts_with("HTTP/1.1 200");
    }

    void checkCallers(const Crowd& crowd)
    {
        checkServes(crowd, [this] { return isServed(); });
        checkProcess(router(), routerMib, callers());
        checkProcess(agent(), agentMib);
    }

    void checkCrowd(std::size_t clients, const CrowdMessage& message)
    {
        checkCallers(Crowd(callers(), clients, [&](std::size_t) { return message; }));
    }

    /// Sends crowds of all kinds to a port that isn't for callers.
    void checkPort(const std::string& endpoint, ChildProcess& process, double memoryMib)
    {
        for (const CrowdMessage& message : hostileMessages("/livez")) {
            const Crowd crowd(endpoint, portClients, [&](std::size_t) { return message; });
            checkServes(crowd, [&] {
                const std::string request = "GET /livez HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
                return exchangeOnce(endpoint, request).starts_with("HTTP/1.1 200");
            });
            checkProcess(process, memoryMib, endpoint);
        }
        BOOST_TEST(isReached([this] { return isServed(); }));
    }

    void checkLinks(const std::string& endpoint, ChildProcess& process, double memoryMib)
    {
        const Crowd crowd(endpoint, 60, [](std::size_t) { return frameOf(longestFrame, longestFrame - 1); });
        checkServes(crowd, [this] { return isServed(); });
        checkProcess(process, memoryMib);
    }

    Deployment deployment;
};

struct FewDescriptors : RouterCrowd {
    FewDescriptors()
        : RouterCrowd({ .limits = { { RLIMIT_NOFILE, descriptors } } })
    {
    }

    void checkDescriptors(const Crowd& crowd)
    {
        lagoon::crowdtests::checkDescriptors(crowd, router());
        checkCallers(crowd);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrowdsOfCallers, RouterCrowd)

// Prevents the end of a router for want of memory, to which callers send requests of every kind that don't end.
BOOST_AUTO_TEST_CASE(endlessRequests)
{
    for (const CrowdMessage& message : hostileMessages(target))
        checkCrowd(50, message);
}

// Prevents the end of a router or an agent for want of memory by many large bodies of legal size.
BOOST_AUTO_TEST_CASE(wholeBodies) { checkCrowd(60, bodyOf(target, wholeBody, wholeBody)); }

// Prevents the end of a router for want of memory by answers that nobody reads.
BOOST_AUTO_TEST_CASE(unreadAnswers)
{
    constexpr std::size_t waves = 10;
    constexpr std::size_t clients = 14;
    constexpr std::size_t bytes = 3 * 1000 * 1000;
    std::vector<std::unique_ptr<Crowd>> crowds;
    for (std::size_t wave = 0; wave < waves; ++wave) {
        crowds.push_back(
            std::make_unique<Crowd>(callers(), clients, [](std::size_t) { return bodyOf(target, bytes, bytes); }));
        BOOST_TEST(crowds.back()->isSettled());
    }
    checkCallers(*crowds.back());
}

// Prevents callers from shutting out others by large bodies that stop just short of their end.
BOOST_AUTO_TEST_CASE(unfinishedBodies) { checkCrowd(60, bodyOf(target, wholeBody, wholeBody - 1)); }

// Prevents the end of a router for want of memory, or a port that answers nobody.
BOOST_AUTO_TEST_CASE(routerOpsPort) { checkPort(deployment.router("entry-1").ops(), router(), routerMib); }
BOOST_AUTO_TEST_CASE(agentOpsPort) { checkPort(deployment.upstream("cpu-1").ops(), agent(), agentMib); }

// Prevents the end of a process for want of memory, to which peers send long frames that stop just short of their end.
BOOST_AUTO_TEST_CASE(routerLinkPort) { checkLinks(router().readyText("link"), router(), routerMib); }
BOOST_AUTO_TEST_CASE(agentLinkPort) { checkLinks(agent().readyText("link"), agent(), agentMib); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(CrowdsThatOccupyDescriptors, FewDescriptors)

// Prevents callers from shutting out others by connections that stop within a request's head.
BOOST_AUTO_TEST_CASE(unfinishedHeads)
{
    checkDescriptors(Crowd(callers(), manyConnections, [](std::size_t) { return CrowdMessage { "POST /ser" }; }));
}

// Prevents callers from shutting out others by connections that stop within a small body.
BOOST_AUTO_TEST_CASE(unfinishedSmallBodies)
{
    checkDescriptors(Crowd(callers(), manyConnections, [](std::size_t) { return bodyOf(target, 100, 10); }));
}

BOOST_AUTO_TEST_SUITE_END()
