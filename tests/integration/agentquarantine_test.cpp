#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace lagoon::testsupport;
using lagoon::framework::Milliseconds;

namespace {

const std::string poison = "poison";
constexpr int crashesToVerdict = 3;
constexpr std::size_t routers = 2;

/// Two routers before five services that crash when they start a call with a certain body. Crashed services are
/// started again.
struct CrashingServices {
    CrashingServices()
    {
        for (const std::string& vm : vms)
            deployment.addUpstream(vm, { .kind = UpstreamKind::Service, .pool = "lookups" });
        deployment.addRouter("entry-1");
        deployment.addRouter("entry-2");
        deployment.rollOut(BundleBuilder(1).servicePool("lookups", "old").service("lookups", { "lookups" }).text());
        deployment.waitUntilReady();
        for (const std::string& vm : vms)
            crashOnPoison(vm);
        for (const std::string router : { "entry-1", "entry-2" }) {
            waitFor("the router's links for evidence", [&] {
                return getFrom(deployment.router(router).ops(), "/metrics").body.find("lagoon_evidence_links 3")
                    != std::string::npos;
            });
        }
    }

    void crashOnPoison(const std::string& vm)
    {
        web::json::value json;
        json["crash_on"] = web::json::value::string(lookup(0, poison).body);
        setFaults(deployment.upstream(vm).upstream(), json.serialize());
    }

    HttpCall lookup(std::size_t router, const std::string& token)
    {
        const std::string callers = deployment.router("entry-" + std::to_string(router + 1)).callers();
        return serviceCall(
            callers, "lookups", token, { { "X-Lagoon-Timeout-Ms", "8000" }, { "X-Lagoon-Repeatable", "true" } });
    }

    HttpAnswer send(std::size_t router, const std::string& token) { return call(lookup(router, token)); }

    /// Starts crashed services again and counts them.
    void restartCrashed()
    {
        for (const std::string& vm : vms) {
            if (deployment.upstream(vm).standin->isRunning())
                continue;
            ++crashes;
            deployment.restartUpstream(vm);
            crashOnPoison(vm);
        }
    }

    const std::vector<std::string> vms { "up-1", "up-2", "up-3", "up-4", "up-5" };
    Deployment deployment;
    int crashes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuarantineThroughAgents, CrashingServices)

// Prevents a request that crashes its upstreams from being dispatched to one agent after the other, by each router.
BOOST_AUTO_TEST_CASE(aRequestThatCrashesItsUpstreamsIsRefusedByAllRouters)
{
    HttpAnswer last;
    for (std::size_t copy = 0; copy < 10; ++copy) {
        last = send(copy % routers, poison);
        restartCrashed();
        std::this_thread::sleep_for(Milliseconds(300));
    }
    BOOST_TEST(crashes == crashesToVerdict);
    BOOST_TEST(last.status == 503);
    BOOST_TEST(refusalField(last, "code") == "quarantined");
    BOOST_TEST(refusalField(last, "execution") == "not_run");
    BOOST_TEST(last.headers.count("retry-after") == 1u);
    for (std::size_t router = 0; router < routers; ++router)
        BOOST_TEST(send(router, "harmless").status == 200);
    BOOST_TEST(getFrom(deployment.router("entry-1").ops(), "/quarantine").body.find("\"quarantined\":true")
        != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
