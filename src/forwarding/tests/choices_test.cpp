#include "forwarding/modeldemand.h"
#include "forwarding/outlierdetector.h"
#include "forwarding/promptcache.h"
#include "forwarding/serverchoice.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;
using framework::ModelName;
using framework::SteadyTime;

const SteadyTime start { std::chrono::hours(1) };

RequestFacts facts(const std::string& model, std::vector<PromptPart> prompt)
{
    RequestFacts made;
    made.model = ModelName(model);
    made.prompt = std::move(prompt);
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Choices)

BOOST_AUTO_TEST_CASE(choosesTheServerWithFewestOwnRequestsPerSlot)
{
    const std::vector<ServerView> servers { { 6, 3, false, true, false }, { 12, 4, false, false, false } };
    BOOST_TEST(*chooseServer(servers, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(prefersTheOwnFailureDomainAmongEqualsAndRoutersStartDifferently)
{
    const std::vector<ServerView> servers { { 6, 0, false, false, false }, { 6, 0, false, true, false } };
    BOOST_TEST(*chooseServer(servers, 0) == 1U);
    const std::vector<ServerView> equal(4);
    BOOST_TEST(*chooseServer(equal, 0.6) == 2U);
}

BOOST_AUTO_TEST_CASE(suspectAndTriedServersAreChosenOnlyIfThereIsNoOther)
{
    BOOST_TEST(*chooseServer({ { 6, 0, true, true, false }, { 6, 5, false, false, false } }, 0) == 1U);
    BOOST_TEST(*chooseServer({ { 6, 0, false, true, true }, { 6, 5, true, false, false } }, 0) == 1U);
    BOOST_TEST(*chooseServer({ { 6, 0, true, true, true } }, 0) == 0U);
    BOOST_TEST(!chooseServer({}, 0));
}

// Two review requests in three share 6,300 of their 9,190 prompt tokens. Processing those again takes 164 ms of an
// engine's time, so the engine that has them cached is preferred until its queue is longer than that.
BOOST_AUTO_TEST_CASE(cachedPromptsAreWeighedAgainstTheQueue)
{
    EngineView cached;
    cached.newTokens = 2890;
    EngineView uncached;
    uncached.newTokens = 9190;
    uncached.affinityRank = 1;
    cached.ownTokensAhead = 5000;
    BOOST_TEST(chooseEngine({ uncached, cached })->index == 1U);
    cached.ownTokensAhead = 12000;
    BOOST_TEST(chooseEngine({ uncached, cached })->index == 0U);
}

BOOST_AUTO_TEST_CASE(anEngineWithoutFreeMemoryIsChosenLast)
{
    EngineView full;
    full.totalTokens = 260000;
    full.usedTokens = 255000;
    full.memoryTokens = 10000;
    EngineView busy;
    busy.totalTokens = 260000;
    busy.ownStartingTokens = 50000;
    busy.ownTokensAhead = 50000;
    BOOST_TEST(chooseEngine({ full, busy })->index == 1U);
    BOOST_TEST(!chooseEngine({}));
}

BOOST_AUTO_TEST_CASE(aFailingServerIsExcludedForLongerEachTime)
{
    OutlierDetector outlierDetector;
    BOOST_TEST(!outlierDetector.isSuspect(start));
    outlierDetector.didFail(start);
    BOOST_TEST(outlierDetector.isSuspect(start + Milliseconds(299)));
    BOOST_TEST(!outlierDetector.isSuspect(start + Milliseconds(300)));
    outlierDetector.didFail(start);
    BOOST_TEST(outlierDetector.isSuspect(start + Milliseconds(599)));
    for (int failure = 0; failure < 20; ++failure)
        outlierDetector.didFail(start);
    BOOST_TEST(!outlierDetector.isSuspect(start + Milliseconds(5000)));
    outlierDetector.didServe();
    BOOST_TEST(!outlierDetector.isSuspect(start));
}

BOOST_AUTO_TEST_CASE(onlyThePrefixOfAPromptIsCached)
{
    PromptCache cache(catalog::Tokens(10000));
    cache.didSend(promptChain(facts("m", { { "a", 100 }, { "b", 200 }, { "c", 300 } })));
    BOOST_TEST(cache.cachedTokens(promptChain(facts("m", { { "a", 100 }, { "b", 200 }, { "d", 300 } }))) == 300U);
    BOOST_TEST(cache.cachedTokens(promptChain(facts("m", { { "b", 200 } }))) == 0U);
    BOOST_TEST(cache.cachedTokens(promptChain(facts("other", { { "a", 100 } }))) == 0U);
}

BOOST_AUTO_TEST_CASE(theLeastRecentlyUsedPromptIsEvicted)
{
    PromptCache cache(catalog::Tokens(1000));
    const auto old = promptChain(facts("m", { { "a", 600 } }));
    const auto recent = promptChain(facts("m", { { "b", 300 } }));
    cache.didSend(recent);
    cache.didSend(old);
    cache.didSend(recent);
    cache.didSend(promptChain(facts("m", { { "c", 400 } })));
    BOOST_TEST(cache.cachedTokens(old) == 0U);
    BOOST_TEST(cache.cachedTokens(recent) == 300U);
}

BOOST_AUTO_TEST_CASE(demandIsTheRecentWork)
{
    ModelDemand demand(start);
    const ModelName model("m");
    SteadyTime now = start;
    for (int request = 0; request < 200; ++request) {
        now += Milliseconds(100);
        demand.didArrive(model, Milliseconds(20), now);
    }
    // 10 requests per second of 20 ms each.
    BOOST_TEST(demand.work(model, now) > 0.18);
    BOOST_TEST(demand.work(model, now) < 0.22);
    BOOST_TEST(demand.work(model, now + std::chrono::seconds(9)) < 0.02);
    BOOST_TEST(demand.work(ModelName("none"), now) == 0);
}

// Prevents subscriptions from being kept for every model that was ever requested.
BOOST_AUTO_TEST_CASE(onlyRecentlyRequestedModelsAreInDemand)
{
    ModelDemand demand(start);
    demand.didArrive(ModelName("before"), Milliseconds(20), start);
    demand.didArrive(ModelName("now"), Milliseconds(20), start + std::chrono::seconds(5));
    demand.forgetOld(start + std::chrono::seconds(5));
    BOOST_TEST(demand.recent(start + std::chrono::seconds(5)).size() == 2u);
    demand.forgetOld(start + std::chrono::seconds(7));
    const auto recent = demand.recent(start + std::chrono::seconds(7));
    BOOST_TEST(recent.size() == 1u);
    BOOST_TEST(recent.contains(ModelName("now")));
}

// Prevents busy models from being mistaken for rare ones after all routers restart under load: without a correction for
// the short observation time, no router requested the copies that they needed for 3 s.
BOOST_AUTO_TEST_CASE(demandIsKnownSoonAfterAStartUnderLoad)
{
    ModelDemand demand(start);
    const ModelName model("m");
    for (Milliseconds at(0); at < Milliseconds(1000); at += Milliseconds(100))
        demand.didArrive(model, Milliseconds(20), start + at);
    BOOST_TEST(demand.work(model, start + Milliseconds(1000)) > 0.17);
    BOOST_TEST(demand.work(model, start + Milliseconds(1000)) < 0.23);
}

BOOST_AUTO_TEST_CASE(absenceOfDemandIsKnownOnlyAfterObservation)
{
    ModelDemand calm(start);
    BOOST_TEST(!calm.isKnown(start + Milliseconds(1000)));
    BOOST_TEST(calm.isKnown(start + Milliseconds(2000)));
    ModelDemand underLoad(start);
    underLoad.didArrive(ModelName("m"), Milliseconds(20), start + Milliseconds(500));
    BOOST_TEST(!underLoad.isKnown(start + Milliseconds(4000)));
    BOOST_TEST(underLoad.isKnown(start + Milliseconds(6000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
