#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"
#include "support/openloop.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;

namespace {

const std::string model = "notes";
const std::string entry = "entry-1";
constexpr int engines = 2;
constexpr int slots = 2;
constexpr int tokenMs = 100;
constexpr int tokens = 5;
constexpr int timeoutMs = 3000;
constexpr double retryShare = 0.1;
constexpr double retryReserve = 20;
/// Four times the calls that both engines can serve within the timeout.
constexpr int calls = 4 * timeoutMs / 1000 * engines * slots * 1000 / (tokenMs * tokens);

/// A deployment with a router and two engines of two slots each, which both have the model loaded.
struct BusyEngines {
    BusyEngines()
    {
        UpstreamOptions options;
        options.standinArguments = { "--slots", std::to_string(slots), "--token-ms", std::to_string(tokenMs) };
        options.extraSettings["limits"]["running"] = web::json::value::number(slots);
        for (const char* vm : { "gpu-1", "gpu-2" })
            deployment.addUpstream(vm, options);
        RouterOptions router;
        router.extraSettings["dispatch"]["scale_up_in_flight"] = web::json::value::number(1);
        router.extraSettings["dispatch"]["retry_share"] = web::json::value::number(retryShare);
        router.extraSettings["dispatch"]["retry_reserve"] = web::json::value::number(retryReserve);
        deployment.addRouter(entry, router);
        deployment.rollOut(BundleBuilder(1)
                               .enginePool("engines", "old", 40000)
                               .model(model, 100, { "engines" }, { { "old", engines } })
                               .text());
        deployment.waitUntilReady();
        waitFor("both engines have loaded the model", [&] {
            OpenLoop warming;
            for (int call = 0; call < 2 * engines; ++call)
                warming.begin(ask("warming", 0, 20000));
            warming.finish();
            return replicasNow(upstreams(), model) == engines;
        });
    }

    HttpCall ask(const std::string& name, int priority, std::uint64_t timeout)
    {
        CompletionOptions options { .timeoutMs = timeout, .maxTokens = tokens };
        options.headers["X-Lagoon-Priority"] = std::to_string(priority);
        return completionCall(deployment.router(entry).callers(), model, promptOf(name), options);
    }
    static std::string promptOf(const std::string& name) { return name + " has five words here"; }
    std::vector<std::string> upstreams() { return deployment.upstreams(UpstreamKind::Engine); }
    double dispatchesAtAgents()
    {
        return metricSumAt(deployment.upstream("gpu-1").ops(), "lagoon_dispatches_total")
            + metricSumAt(deployment.upstream("gpu-2").ops(), "lagoon_dispatches_total");
    }

    Deployment deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Overload, BusyEngines)

// Callers send four times the calls that can be served before their deadlines, all at once. With queues longer than the
// deadlines most calls would end as "unknown" at their timeouts, and retries would multiply the load. Each call must be
// served, or refused as not run with a Retry-After header, and a call with a high priority that is sent last is served.
BOOST_AUTO_TEST_CASE(requestsAreServedOrRefusedAsNotRunAndTheUrgentOneIsServed)
{
    const double before = dispatchesAtAgents();
    OpenLoop load;
    for (int number = 0; number < calls; ++number)
        load.begin(ask("call-" + std::to_string(number), 0, timeoutMs));
    const std::string urgent = "urgent";
    const HttpAnswer served = call(ask(urgent, 9, 20000));
    BOOST_TEST(completionText(served) == promptOf(urgent));

    int servedCount = 0;
    int number = 0;
    for (const TimedAnswer& timed : load.finish()) {
        const std::string name = "call-" + std::to_string(number++);
        if (timed.isServed()) {
            BOOST_TEST(completionText(timed.answer) == promptOf(name));
            ++servedCount;
            continue;
        }
        BOOST_TEST(refusalField(timed.answer, "execution") == "not_run", name << ": " << timed.answer.body);
        BOOST_TEST(timed.answer.headers.count("retry-after") == 1u, name << ": " << timed.answer.body);
        BOOST_TEST(executionsOf(upstreams(), promptOf(name)) == 0u);
    }
    BOOST_TEST(servedCount > 0);
    BOOST_TEST(servedCount < calls);
    BOOST_TEST(dispatchesAtAgents() - before <= (calls + 1) * (1 + retryShare) + retryReserve);
}

BOOST_AUTO_TEST_SUITE_END()
