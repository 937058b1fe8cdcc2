#include "http/testing/rawcaller.h"
#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lagoon::testsupport;
using lagoon::http::testing::RawCaller;

namespace {

/// Longer than any of these tests, so that no load ends by itself and no request reaches its caller's deadline.
constexpr std::uint64_t veryLongMs = 120000;
constexpr int graceMs = 4000;

web::json::value graceSettings(const std::string& more = "")
{
    return web::json::value::parse(R"({"shutdown_grace_ms": )" + std::to_string(graceMs) + more + "}");
}

std::string longPrompt(const std::string& name)
{
    std::string prompt;
    for (int word = 0; word < 200; ++word)
        prompt += name + std::to_string(word) + " ";
    prompt.pop_back();
    return prompt;
}

/// A deployment with two routers and one engine, which takes 1 s per token and runs one request at a time.
struct SlowEngine {
    SlowEngine()
    {
        deployment.addUpstream("gpu-1",
            { .standinArguments = { "--memory-mib", "1000", "--token-ms", "1000" },
                .extraSettings = graceSettings(R"(, "limits": {"running": 1})") });
        deployment.addRouter("entry-1", { .extraSettings = graceSettings() });
        deployment.addRouter("entry-2");
        BundleBuilder bundle(1);
        bundle.enginePool("engines", "old", 1000);
        for (const std::string& model : models())
            bundle.model(model, 100, { "engines" }, { { "old", 1 } });
        deployment.rollOut(bundle.text());
        deployment.waitUntilReady();
    }

    /// Enough models for each router to be home for some of them.
    static std::vector<std::string> models() { return { "notes", "cold", "m1", "m2", "m3", "m4", "m5", "m6" }; }

    PendingCall ask(const std::string& entry, const std::string& model, const CompletionOptions& options)
    {
        return PendingCall(completionCall(
            deployment.router(entry).callers(), model, longPrompt(std::to_string(++promptCount)), options));
    }

    PendingCall startStream(const std::string& entry)
    {
        PendingCall stream = ask(entry, "notes", { .isStream = true, .timeoutMs = veryLongMs });
        waitFor("the stream has begun", [&] { return !stream.bodySoFar().empty(); });
        return stream;
    }

    void holdLoads()
    {
        for (const std::string& engine : deployment.upstreams(UpstreamKind::Engine))
            setFaults(engine, R"({"slow_load_ms": )" + std::to_string(veryLongMs) + "}");
    }

    /// Sends a request that waits at `entry-1` for a load that does not end.
    PendingCall requestHeldLoad(const std::map<std::string, std::string>& headers = {})
    {
        holdLoads();
        PendingCall waiting = ask("entry-1", "cold", { .timeoutMs = veryLongMs, .headers = headers });
        waitFor("the request waits", [&] { return requestsOf("entry-1") == 1; });
        return waiting;
    }

    /// Headers of a request that must not run twice.
    static std::map<std::string, std::string> keyHeaders(const std::string& key)
    {
        return { { "Idempotency-Key", key }, { "X-Lagoon-Repeatable", "false" } };
    }

    int requestsOf(const std::string& entry)
    {
        return getJson(deployment.router(entry).ops(), "/status").at("requests").as_integer();
    }

    int agentCount(const std::string& field)
    {
        return getJson(deployment.upstream("gpu-1").ops(), "/status").at(field).as_integer();
    }

    /// Sends SIGTERM, and SIGKILL if the process does not exit in time, as the platform does. Returns the exit code, or
    /// the negative number of the signal that ended the process.
    static int terminate(ChildProcess& process)
    {
        process.sendSignal(SIGTERM);
        if (!isReached([&] { return !process.isRunning(); }))
            process.kill();
        return process.waitForExit();
    }

    Deployment deployment;
    int promptCount = 0;
};

bool hasRetryAfter(const HttpAnswer& answer) { return answer.headers.contains("retry-after"); }

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestsAreAnsweredBeforeTheGracePeriodEnds, SlowEngine)

// A router receives SIGTERM while a request waits for a load that takes longer than the grace period, and the request's
// deadline is later still. The request was not sent to any agent, so it must be refused as not run with a Retry-After
// header before the platform kills the process.
BOOST_AUTO_TEST_CASE(aRequestWaitingForALoadIsRefusedAsNotRun)
{
    PendingCall waiting = requestHeldLoad();
    ChildProcess& router = *deployment.router("entry-1").process;
    BOOST_TEST(terminate(router) == 0);
    const HttpAnswer& answer = waiting.answer();
    BOOST_TEST(answer.isComplete());
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(refusalField(answer, "code") == "shutting_down");
    BOOST_TEST(refusalField(answer, "execution") == "not_run");
    BOOST_TEST(hasRetryAfter(answer));
    BOOST_TEST(router.log().find("drained") != std::string::npos, "the last line of the log arrives");
}

// A router shuts down and refuses a request with an idempotency key as not run. The caller retries with the same key at
// another router, which must not refuse it as a duplicate of a request that may have run.
BOOST_AUTO_TEST_CASE(theKeyOfARequestThatDidNotRunMayBeReused)
{
    const auto key = keyHeaders("slot-5");
    PendingCall waiting = requestHeldLoad(key);
    BOOST_TEST(terminate(*deployment.router("entry-1").process) == 0);
    BOOST_TEST(refusalField(waiting.answer(), "execution") == "not_run");
    PendingCall again = ask("entry-2", "cold", { .timeoutMs = 1000, .headers = key });
    BOOST_TEST(refusalField(again.answer(), "code") != "duplicate_key");
    BOOST_TEST(refusalField(again.answer(), "execution") == "not_run");
}

// A router receives SIGTERM while two requests take longer than the grace period. The request whose answer has not
// begun may have run and must be answered as unknown. The stream that has begun must be broken off and must not look
// complete.
BOOST_AUTO_TEST_CASE(aRunningRequestIsUnknownOrBrokenOff)
{
    PendingCall stream = startStream("entry-1");
    PendingCall unstreamed = ask("entry-1", "notes", { .timeoutMs = veryLongMs });
    waitFor("both are under way", [&] { return agentCount("waiting") == 1; });
    BOOST_TEST(terminate(*deployment.router("entry-1").process) == 0);
    BOOST_TEST(refusalField(unstreamed.answer(), "code") == "shutting_down");
    BOOST_TEST(refusalField(unstreamed.answer(), "execution") == "unknown");
    BOOST_TEST(unstreamed.answer().status == 502);
    BOOST_TEST(stream.answer().status == 200);
    BOOST_TEST(!stream.answer().isComplete());
}

// Callers keep their connections open. A router that receives SIGTERM while it is idle must refuse the next request on
// each connection as not run, instead of closing the connection without an answer.
BOOST_AUTO_TEST_CASE(aKeepAliveConnectionGetsARefusal)
{
    const std::string request = "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n";
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int caller = 0; caller < 20; ++caller) {
        auto& kept = callers.emplace_back(
            std::make_unique<RawCaller>(lagoon::framework::Endpoint(deployment.router("entry-1").callers())));
        kept->send(request);
        BOOST_TEST(kept->readUntil("\r\n0\r\n\r\n"));
        kept->clearReceived();
    }
    ChildProcess& router = *deployment.router("entry-1").process;
    router.sendSignal(SIGTERM);
    waitFor("the router reports that it is not ready",
        [&] { return getFrom(deployment.router("entry-1").ops(), "/readyz").status != 200; });
    for (const auto& kept : callers) {
        kept->send(request);
        BOOST_REQUIRE(kept->readUntil("}}"));
        BOOST_TEST(kept->received().find(R"("code":"shutting_down")") != std::string::npos);
        BOOST_TEST(kept->received().find("Connection: close\r\n") != std::string::npos);
    }
    BOOST_TEST(router.waitForExit() == 0);
}

// An agent receives SIGTERM while its engine runs one request for longer than the grace period and another request is
// queued at the agent. The queued request was not sent to the engine and must be refused as not run. The running stream
// is broken off, and the process exits by itself.
BOOST_AUTO_TEST_CASE(aRequestQueuedAtAnAgentIsNotRun)
{
    PendingCall stream = startStream("entry-1");
    PendingCall queued = ask("entry-2", "notes", { .timeoutMs = veryLongMs });
    waitFor("the second request is queued at the agent", [&] { return agentCount("waiting") == 1; });
    BOOST_TEST(terminate(*deployment.upstream("gpu-1").agent) == 0);
    BOOST_TEST(refusalField(queued.answer(), "execution") == "not_run");
    BOOST_TEST(hasRetryAfter(queued.answer()));
    BOOST_TEST(!stream.answer().isComplete());
}

// An agent receives SIGTERM while its engine runs a request and has not sent any part of the answer. The request may
// have run, so it must be answered as unknown.
BOOST_AUTO_TEST_CASE(aRequestAtAnEngineWithoutOutputIsUnknown)
{
    PendingCall unstreamed = ask("entry-1", "notes", { .timeoutMs = veryLongMs });
    waitFor("it runs", [&] { return agentCount("running") == 1; });
    BOOST_TEST(terminate(*deployment.upstream("gpu-1").agent) == 0);
    BOOST_TEST(refusalField(unstreamed.answer(), "execution") == "unknown");
    BOOST_TEST(refusalField(unstreamed.answer(), "code") == "draining");
    BOOST_TEST(unstreamed.answer().status == 502);
}

// The platform hangs and the engine is frozen when an agent receives SIGTERM. The agent's pending calls to them must
// not delay it until it is killed, nor prevent the answer that the request may have run.
BOOST_AUTO_TEST_CASE(anAgentExitsWithAFrozenEngineWhileThePlatformHangs)
{
    PendingCall unstreamed = ask("entry-1", "notes", { .timeoutMs = veryLongMs });
    waitFor("it runs", [&] { return agentCount("running") == 1; });
    ChildProcess& engine = *deployment.upstream("gpu-1").standin;
    engine.sendSignal(SIGSTOP);
    setFaults(deployment.platform(), R"({"mode": "hang"})");
    BOOST_TEST(terminate(*deployment.upstream("gpu-1").agent) == 0);
    engine.sendSignal(SIGCONT);
    BOOST_TEST(refusalField(unstreamed.answer(), "execution") == "unknown");
}

// A router releases an idempotency key during its shutdown while the platform hangs. It must not wait for the release
// beyond its grace period.
BOOST_AUTO_TEST_CASE(aRouterExitsWhileThePlatformHangs)
{
    PendingCall waiting = requestHeldLoad(keyHeaders("slot-6"));
    setFaults(deployment.platform(), R"({"mode": "hang"})");
    BOOST_TEST(terminate(*deployment.router("entry-1").process) == 0);
    BOOST_TEST(refusalField(waiting.answer(), "execution") == "not_run");
}

// Requests wait at one router for loads that another router, the home of their models, has ordered. The home receives
// SIGTERM. No request may be refused or delayed until its deadline by that: the other router takes over the loads.
BOOST_AUTO_TEST_CASE(requestsOfOtherRoutersSurviveTheirHomesShutdown)
{
    setFaults(deployment.upstream("gpu-1").upstream(), R"({"slow_load_ms": 6000})");
    std::vector<PendingCall> calls;
    for (const std::string& model : models())
        calls.push_back(ask("entry-2", model, { .timeoutMs = veryLongMs, .maxTokens = 1 }));
    waitFor("all requests wait", [&] { return requestsOf("entry-2") == static_cast<int>(models().size()); });
    BOOST_TEST(terminate(*deployment.router("entry-1").process) == 0);
    const std::string counters = getFrom(deployment.router("entry-2").ops(), "/metrics").body;
    BOOST_TEST(counters.find("\nlagoon_home_failovers_total ") != std::string::npos);
    for (PendingCall& call : calls)
        BOOST_TEST(call.answer().status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
