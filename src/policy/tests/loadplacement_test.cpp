#include "policy/policysetup.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace std::chrono_literals;
using policy::CheckpointLocation;
using policy::LoadBid;

namespace {

LoadBid bid(CheckpointLocation location, framework::Milliseconds expected)
{
    LoadBid made;
    made.canLoad = true;
    made.checkpoint = location;
    made.expectedLoad = expected;
    return made;
}

std::optional<std::size_t> choose(const std::vector<LoadBid>& bids)
{
    return policy::makeLoadPlacement({})->choose(bids);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadPlacement)

BOOST_AUTO_TEST_CASE(noBidIsChosenIfNoneCanLoad)
{
    LoadBid refused = bid(CheckpointLocation::Memory, 1s);
    refused.canLoad = false;
    BOOST_CHECK(!choose({}));
    BOOST_CHECK(!choose({ refused }));
}

BOOST_AUTO_TEST_CASE(aCachedCheckpointOutweighsTheRendezvousOrder)
{
    BOOST_CHECK(choose({ bid(CheckpointLocation::Remote, 40s), bid(CheckpointLocation::Disk, 10s) }) == 1U);
}

BOOST_AUTO_TEST_CASE(nearlyEqualBidsAreChosenInRendezvousOrder)
{
    BOOST_CHECK(choose({ bid(CheckpointLocation::Disk, 10300ms), bid(CheckpointLocation::Disk, 10s) }) == 0U);
}

BOOST_AUTO_TEST_CASE(freeMemoryIsPreferredToEvictingARecentlyUsedReplica)
{
    LoadBid evicting = bid(CheckpointLocation::Disk, 10s);
    evicting.evictedMemory = framework::MebiBytes(1000);
    evicting.victimIdle = 5s;
    BOOST_CHECK(choose({ evicting, bid(CheckpointLocation::Disk, 10s) }) == 1U);
}

BOOST_AUTO_TEST_CASE(evictingAReplicaIdleForHoursIsPreferredToARemoteLoad)
{
    LoadBid evicting = bid(CheckpointLocation::Disk, 10s);
    evicting.evictedMemory = framework::MebiBytes(1000);
    evicting.victimIdle = 3h;
    BOOST_CHECK(choose({ bid(CheckpointLocation::Remote, 40s), evicting }) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
