#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lagoon::testsupport;

namespace {

constexpr int streams = 8;
/// Streams of 40 tokens then last 6 s. This is longer than an idle process takes to shut down; shorter streams would be
/// completed even if the process did not wait for them.
constexpr const char* tokenMs = "150";

std::string promptOf(int caller)
{
    std::string prompt;
    for (int word = 0; word < 40; ++word)
        prompt += "c" + std::to_string(caller) + "w" + std::to_string(word) + " ";
    prompt.pop_back();
    return prompt;
}

/// A deployment with two routers and two engines, which have a replica of the model each.
struct TwoRoutersTwoEngines {
    TwoRoutersTwoEngines()
    {
        for (const std::string vm : { "gpu-1", "gpu-2" })
            deployment.addUpstream(vm, { .standinArguments = { "--memory-mib", "1000", "--token-ms", tokenMs } });
        deployment.addRouter("entry-1");
        deployment.addRouter("entry-2");
        deployment.rollOut(BundleBuilder(1)
                               .enginePool("engines", "old", 1000)
                               .model("notes", 600, { "engines" }, { { "old", 2 } })
                               .text());
        deployment.waitUntilReady();
        if (completionText(ask("entry-1", 0).answer()) != promptOf(0))
            throw std::runtime_error("the call before the shutdown failed");
    }

    PendingCall ask(const std::string& entry, int caller)
    {
        return PendingCall(
            completionCall(deployment.router(entry).callers(), "notes", promptOf(caller), { .isStream = true }));
    }

    std::vector<PendingCall> startStreams()
    {
        std::vector<PendingCall> calls;
        for (int caller = 0; caller < streams; ++caller)
            calls.push_back(ask("entry-1", caller));
        waitFor("all streams have begun", [&] {
            return std::all_of(
                calls.begin(), calls.end(), [](const PendingCall& call) { return !call.bodySoFar().empty(); });
        });
        return calls;
    }

    /// A VM whose engine has loaded the model.
    std::string loadedVm()
    {
        for (std::string vm : { "gpu-1", "gpu-2" }) {
            if (loadsOf({ deployment.upstream(vm).upstream() }, "notes") > 0)
                return vm;
        }
        return "";
    }

    Deployment deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AGracefulShutdownLosesNoAnswer, TwoRoutersTwoEngines)

// A router receives SIGTERM while streams run through it. All streams must be completed, a new request must be refused
// as not run, and the process must exit by itself.
BOOST_AUTO_TEST_CASE(aRoutersStreamsAreCompleted)
{
    std::vector<PendingCall> calls = startStreams();
    deployment.router("entry-1").process->sendSignal(SIGTERM);
    waitFor("the router reports that it is not ready",
        [&] { return getFrom(deployment.router("entry-1").ops(), "/readyz").status != 200; });
    PendingCall late = ask("entry-1", 99);
    BOOST_TEST(refusalField(late.answer(), "code") == "shutting_down");
    BOOST_TEST(refusalField(late.answer(), "execution") == "not_run");
    for (int caller = 0; caller < streams; ++caller)
        BOOST_TEST(completionText(calls[caller].answer()) == promptOf(caller));
    BOOST_TEST(deployment.router("entry-1").process->waitForExit() == 0);
}

// An agent receives SIGTERM while streams run through it. All streams must be completed, and a new request must go to
// the other upstream.
BOOST_AUTO_TEST_CASE(anAgentsStreamsAreCompleted)
{
    const std::string vm = loadedVm();
    std::vector<PendingCall> calls = startStreams();
    const std::string other = vm == "gpu-1" ? "gpu-2" : "gpu-1";
    const auto before = executionsAt({ deployment.upstream(vm).upstream() }).size();
    deployment.upstream(vm).agent->sendSignal(SIGTERM);
    PendingCall late = ask("entry-2", 99);
    BOOST_TEST(completionText(late.answer()) == promptOf(99));
    BOOST_TEST(executionsOf({ deployment.upstream(other).upstream() }, promptOf(99)) == 1u);
    for (int caller = 0; caller < streams; ++caller)
        BOOST_TEST(completionText(calls[caller].answer()) == promptOf(caller));
    BOOST_TEST(deployment.upstream(vm).agent->waitForExit() == 0);
    BOOST_TEST(executionsAt({ deployment.upstream(vm).upstream() }).size() == before);
}

// An agent receives SIGTERM while streams run through it and the platform is down. All streams must be completed, as
// they do not depend on the platform.
BOOST_AUTO_TEST_CASE(anAgentsStreamsAreCompletedDuringAnOutage)
{
    std::vector<PendingCall> calls = startStreams();
    setFaults(deployment.platform(), R"({"mode": "refuse"})");
    const std::string vm = loadedVm();
    deployment.upstream(vm).agent->sendSignal(SIGTERM);
    for (int caller = 0; caller < streams; ++caller)
        BOOST_TEST(completionText(calls[caller].answer()) == promptOf(caller));
    BOOST_TEST(deployment.upstream(vm).agent->waitForExit() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
