#include "fleet/crashingfleet.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::fleet;

namespace {

constexpr int crashesToVerdict = 3;
constexpr std::size_t routers = 3;

/// Three routers, each of which knows all servers.
struct SeveralRouters : CrashingFleet {
    SeveralRouters()
    {
        for (std::size_t router = 1; router < routers; ++router)
            fleet.startRouter(router);
        for (std::size_t router = 0; router < routers; ++router)
            waitUntilServing(router);
    }

    void waitUntilServing(std::size_t router)
    {
        lagoon::testsupport::waitFor(
            "the router to serve", [this, router] { return generate("harmless", router).status == 200; });
    }

    void waitForQuarantineAt(std::size_t router)
    {
        lagoon::testsupport::waitFor("the router to hear of the quarantine",
            [this, router] { return fleet.router(router).output().find("request_quarantined") != std::string::npos; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SharedQuarantine, SeveralRouters)

// Prevents a request that crashes its servers from crashing three more at each router that it arrives at.
BOOST_AUTO_TEST_CASE(crashesSeenByDifferentRoutersCountTogether)
{
    const CallerAnswer last = repeat([this](std::size_t router) { return generate("poison", router); }, 12, routers);
    BOOST_TEST(crashes() == crashesToVerdict);
    BOOST_TEST(last.status == 503);
}

// Prevents copies that arrive at all routers at the same time from crashing a server each, again and again.
BOOST_AUTO_TEST_CASE(copiesAtSeveralRoutersAreTriedOneAtATime)
{
    std::vector<std::future<CallerAnswer>> copies;
    for (std::size_t copy = 0; copy < 12; ++copy) {
        const CallerRequest request {
            .target = "/get/1", .attempt = nextAttempt(), .deadlineMs = 8000, .body = "poison"
        };
        copies.push_back(
            std::async(std::launch::async, [this, request, copy] { return fleet.call(request, copy % routers); }));
    }
    for (std::future<CallerAnswer>& copy : copies)
        BOOST_TEST(copy.get().status != 200);
    // The copies that are sent before the first crash may crash both servers.
    BOOST_TEST(crashes() <= crashesToVerdict + 1);
    for (std::size_t router = 0; router < routers; ++router)
        BOOST_TEST(lookup("poison", router).status == 503);
}

// Prevents a router that has been started again from taking part in the crashes anew.
BOOST_AUTO_TEST_CASE(aRestartedRouterKnowsTheQuarantine)
{
    repeat([this](std::size_t router) { return generate("poison", router); }, 5, routers);
    const int before = crashes();
    fleet.startRouter(1);
    waitUntilServing(1);
    waitForQuarantineAt(1);
    BOOST_TEST(generate("poison", 1).status == 503);
    BOOST_TEST(crashes() == before);
}

// Prevents the loss of the quarantine when all agents, which pass the evidence on, are started again.
BOOST_AUTO_TEST_CASE(theQuarantineSurvivesARestartOfAllAgents)
{
    repeat([this](std::size_t) { return generate("poison", 0); }, 5);
    const int before = crashes();
    fleet.startAgent(0);
    fleet.startAgent(1);
    fleet.startRouter(2);
    waitUntilServing(2);
    waitForQuarantineAt(2);
    for (std::size_t router = 0; router < routers; ++router)
        BOOST_TEST(generate("poison", router).status == 503);
    BOOST_TEST(crashes() == before);
}

// Prevents the routers from losing touch about such requests while the store is away.
BOOST_AUTO_TEST_CASE(evidenceIsSharedWhileTheStoreIsAway)
{
    store.setUnavailable(true);
    const CallerAnswer last = repeat([this](std::size_t router) { return generate("poison", router); }, 12, routers);
    BOOST_TEST(crashes() == crashesToVerdict);
    BOOST_TEST(last.status == 503);
    store.setUnavailable(false);
}

// Prevents a request from staying refused after its servers have been repaired.
BOOST_AUTO_TEST_CASE(anOperatorReleasesARequestOnAllRouters)
{
    repeat([this](std::size_t router) { return generate("poison", router); }, 6, routers);
    BOOST_TEST(generate("poison", 2).status == 503);
    repairServers();
    std::string list;
    BOOST_TEST(fleet.runCommand({ "quarantine", "list", "--router", fleet.ops(0) }, list) == 0);
    const std::string key = "\"fingerprint\":\"";
    const std::size_t found = list.find(key);
    BOOST_REQUIRE(found != std::string::npos);
    BOOST_TEST(list.find("\"quarantined\":true") != std::string::npos);
    const std::string fingerprint = list.substr(found + key.size(), 32);
    std::string output;
    const std::vector<std::string> release { "quarantine", "release", fingerprint, "--router", fleet.ops(0),
        "--operator", "ada" };
    BOOST_TEST(fleet.runCommand(release, output) == 0);
    lagoon::testsupport::waitFor(
        "the request to be served elsewhere", [this] { return generate("poison", 2).status == 200; });
    BOOST_TEST(fleet.runCommand(release, output) != 0);
    BOOST_TEST(
        fleet.runCommand({ "quarantine", "release", "abc", "--router", fleet.ops(0), "--operator", "ada" }, output)
        == 2);
}

BOOST_AUTO_TEST_SUITE_END()
