#include "fleet/runningfleet.h"
#include "http/testing/rawcaller.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <sys/resource.h>
#include <vector>

using namespace lagoon::fleet;
using namespace lagoon::testsupport;
using lagoon::framework::Endpoint;
using lagoon::http::testing::RawCaller;

namespace {

/// The process also inherits sockets of the test's stand-ins.
constexpr rlim_t descriptors = 128;
/// More connections than a router has descriptors.
constexpr std::size_t idleCallers = 160;

/// A router with few descriptors, all of which are taken by callers without a request.
struct CrowdedRouter {
    CrowdedRouter()
    {
        fleet.setProcessOptions({ .limits = { { RLIMIT_NOFILE, descriptors } } });
        fleet.start();
        for (std::size_t index = 0; index < idleCallers; ++index)
            callers.push_back(std::make_unique<RawCaller>(Endpoint(fleet.callers())));
    }
    ~CrowdedRouter() { fleet.stop(); }

    static std::string get(const std::string& endpoint, const std::string& path)
    {
        RawCaller caller { Endpoint(endpoint) };
        caller.send("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        return caller.readToEnd();
    }

    /// Whether the youngest connection serves. After the idle timeout all connections would have been closed.
    bool isLastCallerServed()
    {
        CallerRequest request { .target = "/get/1", .attempt = "last" };
        return callers.back()->send(request.text()) && callers.back()->readUntil("HTTP/1.1 200");
    }

    Fleet& fleet = Fleet::make();
    std::vector<std::unique_ptr<RawCaller>> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RoutersWithFewDescriptors, CrowdedRouter)

// Prevents callers that keep idle connections from shutting out requests.
BOOST_AUTO_TEST_CASE(requestsAreServedBesideIdleConnections)
{
    BOOST_TEST(fleet.call({ .target = "/get/1", .attempt = "new" }).status == 200);
    BOOST_TEST(callers.front()->readToEnd().empty());
    BOOST_TEST(isLastCallerServed());
}

// Prevents callers that keep idle connections from shutting out the checks of readiness and the readers of metrics.
BOOST_AUTO_TEST_CASE(readinessAndMetricsAreReachableBesideIdleConnections)
{
    BOOST_TEST(get(fleet.readiness(0), "/").find("HTTP/1.1 200") == 0);
    BOOST_TEST(get(fleet.ops(0), "/metrics").find("HTTP/1.1 200") == 0);
    BOOST_TEST(isLastCallerServed());
}

BOOST_AUTO_TEST_SUITE_END()
