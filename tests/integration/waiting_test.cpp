#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lagoon::testsupport;

namespace {

constexpr int models = 6;

std::string modelName(int number) { return "m" + std::to_string(number); }

/// A deployment with two routers and two engines, each with memory for all models. One replica of each model is
/// decided.
struct SlowLoads {
    SlowLoads()
    {
        for (const std::string vm : { "gpu-1", "gpu-2" })
            deployment.addUpstream(vm, { .standinArguments = { "--memory-mib", "10000" } });
        deployment.addRouter("entry-1");
        deployment.addRouter("entry-2");
        deployment.rollOut(bundleText(1));
        deployment.waitUntilReady();
    }

    /// A bundle with `models` models per version: version 2 has twice as many as version 1.
    static std::string bundleText(int version)
    {
        BundleBuilder bundle(version);
        bundle.enginePool("engines", "old", 10000).policy("weight_loads_per_second", 100);
        bundle.policy("weight_loads_at_full_speed", 100);
        for (int number = 0; number < version * models; ++number)
            bundle.model(modelName(number), 100, { "engines" }, { { "old", 1 } });
        return bundle.text();
    }

    void setLoadTime(int milliseconds)
    {
        for (const std::string& engine : deployment.upstreams(UpstreamKind::Engine))
            setFaults(engine, R"({"slow_load_ms": )" + std::to_string(milliseconds) + "}");
    }

    PendingCall ask(const std::string& entry, int model, std::uint64_t timeoutMs = 20000)
    {
        return PendingCall(completionCall(deployment.router(entry).callers(), modelName(model),
            "prompt of " + modelName(model), { .timeoutMs = timeoutMs }));
    }

    bool isLoading(const std::string& vm)
    {
        const auto state = getJson(deployment.upstream(vm).upstream(), "/v1/state");
        for (const auto& replica : state.at("replicas").as_array()) {
            if (replica.at("state").as_string() == "loading")
                return true;
        }
        return false;
    }

    double routerCounter(const std::string& entry, const std::string& name)
    {
        const std::string text = getFrom(deployment.router(entry).ops(), "/metrics").body;
        std::istringstream lines(text);
        double sum = 0;
        for (std::string line; std::getline(lines, line);) {
            if (line.rfind(name + "{", 0) == 0 || line.rfind(name + " ", 0) == 0)
                sum += std::stod(line.substr(line.rfind(' ')));
        }
        return sum;
    }

    Deployment deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WaitingRequestsAreServedOrRefusedInTime, SlowLoads)

// Requests for several cold models wait at one router. The other router, which is home for some of the models, is
// killed during the loads. All requests must still be served.
BOOST_AUTO_TEST_CASE(waitingRequestsSurviveTheDeathOfTheirHome)
{
    setLoadTime(1500);
    std::vector<PendingCall> calls;
    for (int model = 0; model < models; ++model)
        calls.push_back(ask("entry-1", model));
    waitFor("loads are under way", [&] { return isLoading("gpu-1") || isLoading("gpu-2"); });
    deployment.router("entry-2").process->kill();
    for (int model = 0; model < models; ++model)
        BOOST_TEST(completionText(calls[model].answer()) == "prompt of " + modelName(model));
    for (int model = 0; model < models; ++model)
        BOOST_TEST(maxConcurrentReplicas(deployment.upstreams(UpstreamKind::Engine), modelName(model)) == 1u);
}

// The router that is home for some of the models is frozen: its connections stay open, but it does not answer. Requests
// at the other router must still be served, long before their deadlines.
BOOST_AUTO_TEST_CASE(aFrozenHomeDoesNotDelayRequests)
{
    // Opens the links between the routers.
    for (int model = 0; model < models; ++model)
        BOOST_TEST(completionText(ask("entry-1", model).answer()) == "prompt of " + modelName(model));
    deployment.router("entry-2").process->sendSignal(SIGSTOP);
    deployment.rollOut(bundleText(2));
    waitFor("the new bundle is in force",
        [&] { return getJson(deployment.router("entry-1").ops(), "/status").at("bundle_version").as_integer() == 2; });
    std::vector<PendingCall> calls;
    for (int model = models; model < 2 * models; ++model)
        calls.push_back(ask("entry-1", model));
    for (int model = models; model < 2 * models; ++model)
        BOOST_TEST(completionText(calls[model - models].answer()) == "prompt of " + modelName(model));
    deployment.router("entry-2").process->sendSignal(SIGCONT);
}

// The agent that loads a model for a waiting request is killed and not restarted. Its claim remains, so no other agent
// may load the model. The request must be refused as not run, with a Retry-After header, long before its deadline.
BOOST_AUTO_TEST_CASE(theDeathOfALoadingAgentCausesAnEarlyRefusal)
{
    setLoadTime(60000);
    PendingCall call = ask("entry-1", 0, 25000);
    waitFor("the load is under way", [&] { return isLoading("gpu-1") || isLoading("gpu-2"); });
    const std::string vm = isLoading("gpu-1") ? "gpu-1" : "gpu-2";
    deployment.upstream(vm).agent->kill();
    const HttpAnswer& answer = call.answer();
    BOOST_TEST(refusalField(answer, "code") == "replica_cap_reached");
    BOOST_TEST(refusalField(answer, "execution") == "not_run");
    BOOST_TEST(answer.headers.count("retry-after") == 1u);
    BOOST_TEST(maxConcurrentReplicas(deployment.upstreams(UpstreamKind::Engine), modelName(0)) == 1u);
}

// Loads become very slow. A request whose deadline is before the expected end of the load must be refused at once as
// hopeless, while one with a later deadline keeps waiting; that one is refused as not run at its deadline.
BOOST_AUTO_TEST_CASE(hopelessRequestsAreRefusedWhileOthersWait)
{
    setLoadTime(3000);
    // Lets the homes measure the duration of a load.
    BOOST_TEST(completionText(ask("entry-1", 0).answer()) == "prompt of m0");
    BOOST_TEST(completionText(ask("entry-2", 1).answer()) == "prompt of m1");
    setLoadTime(60000);
    PendingCall patient = ask("entry-1", 2, 6000);
    waitFor("the load is under way", [&] { return isLoading("gpu-1") || isLoading("gpu-2"); });
    PendingCall hasty = ask("entry-1", 2, 700);
    const HttpAnswer& refused = hasty.answer();
    BOOST_TEST(refusalField(refused, "execution") == "not_run");
    BOOST_TEST(refusalField(refused, "code") == "deadline_hopeless");
    BOOST_TEST(!patient.isFinished());
    BOOST_TEST(refusalField(patient.answer(), "execution") == "not_run");
}

// Requests are sent while an agent is killed, the platform has an outage and a router is killed. Each request that the
// surviving router has accepted must be counted with exactly one outcome: an answer or a refusal.
BOOST_AUTO_TEST_CASE(eachAcceptedRequestHasExactlyOneOutcome)
{
    setLoadTime(200);
    std::vector<PendingCall> calls;
    const auto askAll = [&] {
        for (int model = 0; model < models; ++model)
            calls.push_back(ask("entry-1", model, 5000));
    };
    askAll();
    deployment.upstream("gpu-2").agent->kill();
    askAll();
    setFaults(deployment.platform(), R"({"mode": "refuse"})");
    askAll();
    deployment.router("entry-2").process->kill();
    askAll();
    setFaults(deployment.platform(), R"({"mode": "up"})");
    deployment.restartAgent("gpu-2");
    askAll();
    int served = 0;
    int refused = 0;
    for (PendingCall& call : calls) {
        const HttpAnswer& answer = call.answer();
        served += answer.status == 200 && answer.isComplete();
        refused += answer.status != 200 && !refusalField(answer, "code").empty();
    }
    BOOST_TEST(served + refused == static_cast<int>(calls.size()));
    BOOST_TEST(served > 0);
    BOOST_TEST(routerCounter("entry-1", "lagoon_requests_total") == static_cast<double>(calls.size()));
    BOOST_TEST(routerCounter("entry-1", "lagoon_answers_total") + routerCounter("entry-1", "lagoon_refusals_total")
        == static_cast<double>(calls.size()));
}

BOOST_AUTO_TEST_SUITE_END()
