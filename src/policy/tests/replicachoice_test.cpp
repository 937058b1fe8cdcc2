#include "policy/policysetup.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace lagoon;
using namespace std::chrono_literals;
using policy::ReplicaView;

namespace {

const framework::SteadyTime start = framework::SteadyTime() + 1h;

std::vector<ReplicaView> replicas(int count)
{
    std::vector<ReplicaView> made;
    for (int index = 0; index < count; ++index) {
        ReplicaView view;
        view.vm = framework::VmName("vm-" + std::to_string(index));
        view.firstByteSeconds = 0.1;
        view.lastAnswer = start;
        made.push_back(view);
    }
    return made;
}

std::unique_ptr<policy::IReplicaChoice> choice(std::uint64_t seed = 7) { return policy::makeReplicaChoice({}, seed); }

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaChoice)

BOOST_AUTO_TEST_CASE(aReplicaIsChosenUnlessThereAreNone)
{
    BOOST_CHECK(!choice()->choose({}, 1, start));
    std::vector<ReplicaView> suspect = replicas(1);
    suspect[0].isSuspect = true;
    BOOST_CHECK(choice()->choose(suspect, 1, start) == 0U);
}

BOOST_AUTO_TEST_CASE(allRoutersChooseTheSameReplicaForAPrefix)
{
    std::set<std::size_t> chosen;
    for (std::uint64_t router = 0; router < 10; ++router)
        chosen.insert(*choice(router)->choose(replicas(5), 4711, start));
    BOOST_TEST(chosen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(prefixesSpreadOverAllReplicas)
{
    std::set<std::size_t> chosen;
    for (std::uint64_t prefix = 1; prefix < 100; ++prefix)
        chosen.insert(*choice()->choose(replicas(5), prefix, start));
    BOOST_TEST(chosen.size() == 5U);
}

BOOST_AUTO_TEST_CASE(aPrefixMovesAwayFromAnOverloadedReplica)
{
    std::vector<ReplicaView> views = replicas(3);
    const std::size_t preferred = *choice()->choose(views, 4711, start);
    views[preferred].ownInFlight = 10;
    BOOST_CHECK(choice()->choose(views, 4711, start) != preferred);
}

BOOST_AUTO_TEST_CASE(aSuspectReplicaIsNotChosen)
{
    std::vector<ReplicaView> views = replicas(3);
    views[1].isSuspect = true;
    const auto chooser = choice();
    for (std::uint64_t prefix = 0; prefix < 100; ++prefix)
        BOOST_CHECK(chooser->choose(views, prefix, start) != 1U);
}

// Prevents an upstream that answers thirty times slower than the others from dominating the tail latency of a model
// while others are free. Its bad average keeps requests away; the average decays, so that a request tries the upstream
// again.
BOOST_AUTO_TEST_CASE(aSlowReplicaIsAvoidedAndLaterTriedAgain)
{
    std::vector<ReplicaView> views = replicas(3);
    views[1].firstByteSeconds = 3;
    const auto chooser = choice();
    for (std::uint64_t prefix = 0; prefix < 100; ++prefix)
        BOOST_CHECK(chooser->choose(views, prefix, start) != 1U);
    std::set<std::size_t> chosen;
    for (std::uint64_t prefix = 0; prefix < 100; ++prefix)
        chosen.insert(*chooser->choose(views, prefix, start + 5min));
    BOOST_TEST(chosen.count(1) == 1U);
}

// Prevents herding: many routers have the same reports, in which one replica has the least load. If all of them sent
// requests to it, it would be overloaded before its next report.
BOOST_AUTO_TEST_CASE(routersDoNotHerdToTheReplicaWithTheLeastReportedLoad)
{
    std::vector<ReplicaView> views = replicas(6);
    for (ReplicaView& view : views)
        view.reportedRunning = 4;
    views[2].reportedRunning = 3;
    int herd = 0;
    for (std::uint64_t router = 0; router < 300; ++router)
        herd += choice(router)->choose(views, 0, start) == 2U ? 1 : 0;
    BOOST_TEST(herd < 150);
}

BOOST_AUTO_TEST_SUITE_END()
