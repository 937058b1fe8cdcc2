#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;

namespace {

constexpr std::uint64_t lateLoadDelayMs = 1500;
constexpr std::uint64_t settlingMs = 4000;

/// A deployment with one router and one engine. The engine has memory for only one of its two models at a time.
struct OneEngine {
    void start(bool checksFencing)
    {
        deployment.addUpstream("gpu-1",
            { .standinArguments = { "--memory-mib", "1000", "--load-ms", "600" },
                .checksFencing = checksFencing,
                .settlingMs = settlingMs });
        deployment.addRouter("entry-1");
        deployment.rollOut(BundleBuilder(1)
                               .enginePool("engines", "old", 1000)
                               .model("policy", 700, { "engines" }, { { "old", 1 } })
                               .model("notes", 600, { "engines" }, { { "old", 1 } })
                               .text());
        deployment.waitUntilReady();
        waitFor("the agent has its claims and bundle", [this] { return status("is_open") == "true"; });
    }

    HttpCall completion(const std::string& model, const std::string& prompt, std::uint64_t maxTokens = 0)
    {
        return completionCall(
            deployment.router("entry-1").callers(), model, prompt, { .isStream = true, .maxTokens = maxTokens });
    }

    std::string status(const std::string& key)
    {
        const HttpAnswer answer = getFrom(agent().ops(), "/status");
        const web::json::value json = answer.json();
        return json.is_object() && json.has_field(key) ? json.at(key).serialize() : "";
    }

    /// Kills the agent and restarts it at the same endpoint, as on a VM whose settings fix the endpoint.
    void restartAgent()
    {
        agent().options.extraSettings["link"] = web::json::value::string(agent().agent->readyText("link"));
        agent().agent->kill();
        deployment.restartAgent("gpu-1");
    }

    UpstreamVm& agent() { return deployment.upstream("gpu-1"); }
    std::vector<std::string> engines() { return deployment.upstreams(UpstreamKind::Engine); }

    Deployment deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentFailures, OneEngine)

// The agent is killed during a load and restarted. The new process finds its claim and the load in the engine and
// continues both, so the waiting caller is answered late but the model is not loaded twice.
BOOST_AUTO_TEST_CASE(aRestartedAgentContinuesItsLoad)
{
    start(true);
    PendingCall waiting(completion("policy", "may this university have a block"));
    waitFor("the load begins", [this] { return loadsOf(engines(), "policy") == 1; });
    restartAgent();
    BOOST_TEST(completionText(waiting.answer()) == "may this university have a block");
    BOOST_TEST(loadsOf(engines(), "policy") == 1);
    BOOST_TEST(violationsAt(engines()).empty());
}

// Prevents overcommitted memory by a delayed load order: the agent is killed right after it has sent a load order,
// which the engine reads only later. The engine ignores fencing tokens. The new agent process sees a claim and an empty
// engine. If it counted the memory as free, it would load another model, and the delayed order would then load the
// first one as well.
BOOST_AUTO_TEST_CASE(aLateLoadOrderDoesNotOvercommitTheEngine)
{
    start(false);
    setFaults(agent().upstream(), R"({"late_loads":{"count":1,"delay_ms":)" + std::to_string(lateLoadDelayMs) + "}}");
    PendingCall first(completion("policy", "first"));
    waitFor("the order is on its way", [this] { return status("replicas").find("\"loading\"") != std::string::npos; });
    restartAgent();
    // While the memory is reserved for the first model, callers of the second are refused and retry.
    HttpAnswer second = call(completion("notes", "second"));
    while (refusalField(second, "code") == "memory_short") {
        BOOST_TEST(refusalField(second, "execution") == "not_run");
        second = call(completion("notes", "second"));
    }
    BOOST_TEST(completionText(second) == "second");
    BOOST_TEST(completionText(first.answer()) == "first");
    BOOST_TEST(violationsAt(engines()).empty());
    BOOST_TEST(maxConcurrentReplicas(engines(), "policy") == 1);
}

// The agent is paused during a load, until the engine has finished it, and then continued. Claims do not expire, so no
// other agent loads the model in the meantime, and the caller gets its answer.
BOOST_AUTO_TEST_CASE(aPausedAgentKeepsItsClaim)
{
    start(true);
    PendingCall waiting(completion("policy", "after the pause"));
    waitFor("the load begins", [this] { return loadsOf(engines(), "policy") == 1; });
    agent().agent->sendSignal(SIGSTOP);
    waitFor("the engine ends the load alone",
        [this] { return getFrom(agent().upstream(), "/v1/state").body.find("\"loaded\"") != std::string::npos; });
    agent().agent->sendSignal(SIGCONT);
    BOOST_TEST(completionText(waiting.answer()) == "after the pause");
    BOOST_TEST(loadsOf(engines(), "policy") == 1);
}

// An operator stops an agent while an answer streams through it. The answer is completed, new requests are refused as
// not run, and the process exits with code 0.
BOOST_AUTO_TEST_CASE(aGracefulShutdownCompletesAllStreams)
{
    start(true);
    BOOST_TEST(completionText(call(completion("policy", "warm"))) == "warm");
    setFaults(agent().upstream(), R"({"slow_token_ms":20})");
    PendingCall streaming(completion("policy", "one two three", 100));
    waitFor("the answer begins", [&streaming] { return streaming.bodySoFar().find("one") != std::string::npos; });
    agent().agent->sendSignal(SIGTERM);
    waitFor("the agent drains", [this] { return status("is_draining") == "true"; });
    const HttpAnswer late = call(completionCall(
        deployment.router("entry-1").callers(), "policy", "too late", { .isStream = true, .timeoutMs = 1000 }));
    BOOST_TEST(refusalField(late, "execution") == "not_run");
    BOOST_TEST(streaming.answer().status == 200);
    BOOST_TEST(streaming.answer().failure == "");
    BOOST_TEST(agent().agent->waitForExit() == 0);
    BOOST_TEST(executionsOf(engines(), "too late") == 0);
}

// The agent is killed while a completion is generated. The engine may have run it to the end, so the caller's stream
// breaks off and the completion is not run a second time.
BOOST_AUTO_TEST_CASE(aRequestIsNotRunTwiceIfTheAgentDiesDuringItsAnswer)
{
    start(true);
    BOOST_TEST(completionText(call(completion("policy", "warm"))) == "warm");
    setFaults(agent().upstream(), R"({"slow_token_ms":20})");
    PendingCall streaming(completion("policy", "draft of a decision", 200));
    waitFor("the answer begins", [&streaming] { return streaming.bodySoFar().find("draft") != std::string::npos; });
    restartAgent();
    BOOST_TEST(!streaming.answer().isComplete());
    setFaults(agent().upstream(), R"({"slow_token_ms":0})");
    BOOST_TEST(completionText(call(completion("policy", "the next one"))) == "the next one");
    BOOST_TEST(executionsOf(engines(), "draft of a decision") == 1);
    BOOST_TEST(loadsOf(engines(), "policy") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
