#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;

namespace {

constexpr std::uint64_t lateLoadDelayMs = 1500;
constexpr std::uint64_t settlingMs = 4000;

/// One router before one engine that holds one of two models at a time.
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

    /// Kills the agent and starts it anew at the same endpoint, as a VM's fixed settings do.
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

// The agent dies in the middle of a load and is started anew. The caller who waits sees only a longer wait: the new
// process finds the claim and the load in the engine and carries both on; nothing is loaded twice.
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

// The agent dies right after it sent a load order that the engine reads only later; the engine ignores fencing numbers.
// The new process sees a claim and an empty engine. Were the memory free, a call for another model would load that, the
// late order would come, and both wouldn't fit.
BOOST_AUTO_TEST_CASE(aLateLoadOrderDoesNotOvercommitTheEngine)
{
    start(false);
    setFaults(agent().upstream(), R"({"late_loads":{"count":1,"delay_ms":)" + std::to_string(lateLoadDelayMs) + "}}");
    PendingCall first(completion("policy", "first"));
    waitFor("the order is on its way", [this] { return status("replicas").find("\"loading\"") != std::string::npos; });
    restartAgent();
    // While the first model's memory is taken, the second's callers are told so and come back.
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

// The agent is paused in the middle of a load, far longer than anything is waited for, and goes on. Its claim hasn't
// lapsed, so nobody else loaded the model meanwhile, and the caller gets the answer.
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

// An operator stops an agent while answers stream through it. Each ends whole, what comes now is refused as not run,
// and the process ends by itself with code 0.
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

// The agent dies while a draft is generated. The engine may have run it whole, so the caller is told that the outcome
// is unknown, and the draft isn't made a second time.
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
