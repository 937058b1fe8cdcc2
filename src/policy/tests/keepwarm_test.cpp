#include "policy/expiredreplicas.h"
#include "policy/policysetup.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace std::chrono_literals;
using framework::MebiBytes;
using policy::LoadedReplica;

namespace {

const framework::SteadyTime start = framework::SteadyTime() + 100h;
const MebiBytes accelerator(80000);

LoadedReplica replica(const std::string& model, std::uint64_t memory, framework::Milliseconds idle)
{
    LoadedReplica made;
    made.model = framework::ModelName(model);
    made.memory = MebiBytes(memory);
    made.lastUsed = start - idle;
    made.loadTime = 30s;
    return made;
}

LoadedReplica adapterOf(const std::string& model, const std::string& adapter, framework::Milliseconds idle)
{
    LoadedReplica made = replica(model, 500, idle);
    made.adapter = framework::AdapterName(adapter);
    made.loadTime = 2s;
    return made;
}

std::unique_ptr<policy::IKeepWarm> keepWarm(double weight = 10)
{
    bundle::PolicyParameters parameters;
    parameters.coldStartWeight = weight;
    return policy::makeKeepWarm(parameters);
}

framework::Milliseconds kept(const LoadedReplica& idle, double weight = 10)
{
    return std::chrono::duration_cast<framework::Milliseconds>(
        keepWarm(weight)->keepUntil(idle, accelerator).at() - idle.lastUsed);
}

std::vector<std::size_t> victims(const std::vector<LoadedReplica>& replicas, std::uint64_t needed)
{
    return keepWarm()->victims(replicas, MebiBytes(needed), start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeepWarm)

BOOST_AUTO_TEST_CASE(withoutHistoryAReplicaIsKeptUntilItsIdlingCostsAsMuchAsAColdStart)
{
    // A cold start costs 30 s of load at weight 10 and 30 s of accelerator time during the load.
    const auto keep = kept(replica("drafts", 80000, 0s));
    BOOST_CHECK(keep > 30s && keep <= 330s);
}

BOOST_AUTO_TEST_CASE(smallerSlowerLoadingOrMoreCostlyReplicasAreKeptLonger)
{
    const LoadedReplica whole = replica("drafts", 80000, 0s);
    LoadedReplica slow = whole;
    slow.loadTime = 300s;
    BOOST_CHECK(kept(replica("drafts", 8000, 0s)) > kept(whole));
    BOOST_CHECK(kept(slow) > kept(whole));
    BOOST_CHECK(kept(whole, 100) > kept(whole, 10));
}

BOOST_AUTO_TEST_CASE(aReplicaIsKeptThroughItsUsualGapsIfThatCostsLess)
{
    LoadedReplica frequent = replica("drafts", 80000, 0s);
    for (int use = 0; use < 30; ++use)
        frequent.gaps.record(200s);
    BOOST_CHECK(kept(frequent) >= 200s && kept(frequent) < 600s);
}

BOOST_AUTO_TEST_CASE(aReplicaWithOnlyLongGapsIsUnloadedSoon)
{
    LoadedReplica rare = replica("drafts", 80000, 0s);
    for (int use = 0; use < 30; ++use)
        rare.gaps.record(5h);
    BOOST_CHECK(kept(rare) < 10s);
}

// Prevents unloading a model in the short gap between two requests, which makes the second wait for a reload.
BOOST_AUTO_TEST_CASE(aFastLoadingModelIsKeptThroughAShortGap)
{
    LoadedReplica fast = replica("drafts", 56000, 0s);
    fast.loadTime = 600ms;
    BOOST_CHECK(kept(fast) >= 1s);
    for (int use = 0; use < 30; ++use)
        fast.gaps.record(5h);
    BOOST_CHECK(kept(fast) >= 1s);
}

BOOST_AUTO_TEST_CASE(gapsOfOtherTargetsCountUntilAReplicaHasItsOwn)
{
    policy::IdleGaps others;
    for (int use = 0; use < 30; ++use)
        others.record(200s);
    LoadedReplica unused = replica("drafts", 80000, 0s);
    unused.gaps = unused.gaps.withPrior(others);
    BOOST_CHECK(kept(unused) >= 200s);
    LoadedReplica known = replica("drafts", 80000, 0s);
    for (int use = 0; use < 30; ++use)
        known.gaps.record(5h);
    known.gaps = known.gaps.withPrior(others);
    BOOST_CHECK(kept(known) < 10s);
}

BOOST_AUTO_TEST_CASE(oldGapsDecay)
{
    LoadedReplica changed = replica("drafts", 80000, 0s);
    for (int use = 0; use < 30; ++use)
        changed.gaps.record(5h);
    for (int use = 0; use < 200; ++use)
        changed.gaps.record(100s);
    BOOST_CHECK(kept(changed) >= 100s);
}

BOOST_AUTO_TEST_CASE(nothingIsEvictedIfItWouldNotFreeEnough)
{
    BOOST_CHECK(victims({ replica("a", 1000, 1h), replica("b", 1000, 1h) }, 3000).empty());
    BOOST_CHECK(victims({ replica("a", 1000, 1h) }, 0).empty());
}

BOOST_AUTO_TEST_CASE(theLongestIdleReplicaIsEvictedFirst)
{
    BOOST_CHECK(victims({ replica("a", 1000, 1min), replica("b", 1000, 2h) }, 500) == std::vector<std::size_t> { 1 });
}

BOOST_AUTO_TEST_CASE(aRunningReplicaIsNotEvicted)
{
    LoadedReplica running = replica("a", 1000, 2h);
    running.running = 1;
    BOOST_CHECK(victims({ running, replica("b", 1000, 1min) }, 500) == std::vector<std::size_t> { 1 });
    BOOST_CHECK(victims({ running }, 500).empty());
}

BOOST_AUTO_TEST_CASE(aModelWithARunningAdapterIsNotEvicted)
{
    LoadedReplica adapter = adapterOf("a", "x", 2h);
    adapter.running = 1;
    BOOST_CHECK(victims({ replica("a", 1000, 2h), adapter }, 1000).empty());
}

BOOST_AUTO_TEST_CASE(aModelIsEvictedAfterItsAdapters)
{
    const std::vector<LoadedReplica> replicas { replica("a", 1000, 2h), adapterOf("a", "x", 2h) };
    const std::vector<std::size_t> expected { 1, 0 };
    BOOST_CHECK(victims(replicas, 900) == expected);
}

BOOST_AUTO_TEST_CASE(noMoreIsEvictedThanNeeded)
{
    const std::vector<LoadedReplica> replicas { replica("a", 1000, 3h), replica("b", 5000, 2h) };
    BOOST_TEST(victims(replicas, 4000).size() == 1U);
}

BOOST_AUTO_TEST_CASE(adaptersExpireWithTheirModel)
{
    const auto keeping = keepWarm(1);
    std::vector<LoadedReplica> replicas { replica("a", 40000, 5min), adapterOf("a", "x", 5min) };
    replicas[1].memory = MebiBytes(50);
    for (int use = 0; use < 30; ++use)
        replicas[1].gaps.record(10min);
    BOOST_CHECK(!keeping->keepUntil(replicas[1], accelerator).hasPassed(start));
    const std::vector<std::size_t> expected { 1, 0 };
    BOOST_CHECK(policy::expiredReplicas(*keeping, replicas, accelerator, start) == expected);
}

BOOST_AUTO_TEST_CASE(aModelWithARunningAdapterDoesNotExpire)
{
    std::vector<LoadedReplica> replicas { replica("a", 40000, 5min), adapterOf("a", "x", 5min) };
    replicas[1].running = 1;
    BOOST_CHECK(policy::expiredReplicas(*keepWarm(1), replicas, accelerator, start).empty());
}

BOOST_AUTO_TEST_CASE(anAdapterMayExpireBeforeItsModel)
{
    const std::vector<LoadedReplica> replicas { replica("a", 40000, 0s), adapterOf("a", "x", 10h) };
    BOOST_CHECK(policy::expiredReplicas(*keepWarm(1), replicas, accelerator, start) == std::vector<std::size_t> { 1 });
}

BOOST_AUTO_TEST_SUITE_END()
