#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;

namespace {

constexpr int callers = 12;

/// A prompt of 20 tokens, all of which contain the caller's number. The stand-in engine answers with the prompt.
std::string promptOf(int caller)
{
    std::string prompt;
    for (int word = 0; word < 20; ++word)
        prompt += "c" + std::to_string(caller) + "w" + std::to_string(word) + " ";
    prompt.pop_back();
    return prompt;
}

/// A deployment with one model on one engine, and fault proxies on both sides of the engine's agent.
struct AnswersFixture {
    AnswersFixture()
    {
        deployment.addUpstream("gpu-1",
            { .standinArguments = { "--memory-mib", "1000", "--token-ms", "20" },
                .hasLinkProxy = true,
                .hasUpstreamProxy = true });
        deployment.addRouter("entry-1");
        deployment.rollOut(BundleBuilder(1)
                               .enginePool("engines", "old", 1000)
                               .model("notes", 600, { "engines" }, { { "old", 1 } })
                               .text());
        deployment.waitUntilReady();
        if (completionText(ask(0, false).answer()) != promptOf(0))
            throw std::runtime_error("the call without faults failed");
    }

    PendingCall ask(int caller, bool isStream)
    {
        return PendingCall(completionCall(
            deployment.router("entry-1").callers(), "notes", promptOf(caller), { .isStream = isStream }));
    }

    std::vector<PendingCall> askAll()
    {
        std::vector<PendingCall> calls;
        for (int caller = 0; caller < callers; ++caller)
            calls.push_back(ask(caller, true));
        return calls;
    }

    void waitUntilAllStarted(const std::vector<PendingCall>& calls)
    {
        waitFor("all streams have begun", [&] {
            return std::all_of(
                calls.begin(), calls.end(), [](const PendingCall& call) { return !call.bodySoFar().empty(); });
        });
    }

    std::string linkProxy() { return deployment.upstream("gpu-1").linkProxy->readyText("http"); }
    std::string upstreamProxy() { return deployment.upstream("gpu-1").upstreamProxy->readyText("http"); }

    Deployment deployment;
};

/// Whether the caller's answer contains tokens of another caller's prompt.
bool hasTokensOfOthers(const HttpAnswer& answer, int caller)
{
    for (int other = 0; other < callers; ++other) {
        if (other != caller && answer.body.find("c" + std::to_string(other) + "w") != std::string::npos)
            return true;
    }
    return false;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallersGetTheirOwnCompleteAnswers, AnswersFixture)

BOOST_AUTO_TEST_CASE(concurrentStreamsDoNotMix)
{
    std::vector<PendingCall> calls = askAll();
    for (int caller = 0; caller < callers; ++caller)
        BOOST_TEST(completionText(calls[caller].answer()) == promptOf(caller));
}

// Frames of the agent's answers arrive at the router in another order. A caller's answer may break off, but it must
// never contain another caller's tokens, nor end as complete with its own tokens in the wrong order.
BOOST_AUTO_TEST_CASE(reorderedFramesNeverReachTheWrongCaller)
{
    std::vector<PendingCall> calls = askAll();
    waitUntilAllStarted(calls);
    setFaults(linkProxy(), R"({"swap": {"to_client": 40}})");
    for (int caller = 0; caller < callers; ++caller) {
        const HttpAnswer& answer = calls[caller].answer();
        BOOST_TEST(!hasTokensOfOthers(answer, caller));
        if (answer.isComplete() && answer.status == 200)
            BOOST_TEST(completionText(answer) == promptOf(caller));
    }
    BOOST_TEST(getJson(linkProxy(), "/standin/record").at("swapped").as_integer() > 0);
}

// The link between router and agent breaks while all streams are in progress. The router opens a new link and resumes
// each stream at the byte where it stopped.
BOOST_AUTO_TEST_CASE(aBrokenLinkIsReplacedDuringStreams)
{
    std::vector<PendingCall> calls = askAll();
    waitUntilAllStarted(calls);
    setFaults(linkProxy(), R"({"cut": true})");
    for (int caller = 0; caller < callers; ++caller)
        BOOST_TEST(completionText(calls[caller].answer()) == promptOf(caller));
}

// The link between router and agent stops delivering bytes while all streams are in progress, without being closed. New
// connections work, so the router replaces the link.
BOOST_AUTO_TEST_CASE(aSilentLinkIsReplacedDuringStreams)
{
    std::vector<PendingCall> calls = askAll();
    waitUntilAllStarted(calls);
    setFaults(linkProxy(), R"({"silent": "both"})");
    for (int caller = 0; caller < callers; ++caller)
        BOOST_TEST(completionText(calls[caller].answer()) == promptOf(caller));
}

// The agent's connection to the engine breaks during a stream. The caller must see an error instead of a truncated
// answer that looks complete.
BOOST_AUTO_TEST_CASE(aBrokenUpstreamStreamEndsAsAnError)
{
    PendingCall call = ask(3, true);
    waitFor("the stream has begun", [&] { return !call.bodySoFar().empty(); });
    setFaults(upstreamProxy(), R"({"cut": true})");
    BOOST_TEST(!call.answer().isComplete());
    BOOST_TEST(completionText(call.answer()) != promptOf(3));
}

BOOST_AUTO_TEST_SUITE_END()
