#include "policy/weightstoreshare.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace std::chrono_literals;
using policy::WeightStoreShare;

namespace {

const framework::SteadyTime start = framework::SteadyTime() + 1h;

bundle::PolicyParameters parameters(double rate, std::uint32_t slots)
{
    bundle::PolicyParameters made;
    made.weightLoadsPerSecond = rate;
    made.weightLoadsAtFullSpeed = slots;
    return made;
}

/// Returns how many loads one home starts that always has waiting loads, in steps of 100 ms. The loads end at once if
/// `areEnded`, otherwise never.
int startedWithin(WeightStoreShare& share, framework::Milliseconds duration, bool areEnded)
{
    int started = 0;
    for (framework::Milliseconds elapsed { 0 }; elapsed < duration; elapsed += 100ms) {
        if (!share.mayStart(start, start + elapsed))
            continue;
        share.start(start + elapsed);
        ++started;
        if (areEnded)
            share.end();
    }
    return started;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WeightStoreShares)

BOOST_AUTO_TEST_CASE(sharesWithoutBorrowingAddUpToTheRate)
{
    int started = 0;
    for (int router = 0; router < 3; ++router) {
        WeightStoreShare share(parameters(1.5, 4), false);
        share.setLiveRouters(3, static_cast<std::uint32_t>(router));
        started += startedWithin(share, 60s, true);
    }
    BOOST_TEST((started >= 88 && started <= 94), started);
}

BOOST_AUTO_TEST_CASE(sharesWithoutBorrowingAddUpToTheSlots)
{
    for (const std::uint32_t routers : { 1U, 2U, 3U, 4U }) {
        int started = 0;
        for (std::uint32_t router = 0; router < routers; ++router) {
            WeightStoreShare share(parameters(100, 4), false);
            share.setLiveRouters(routers, router);
            started += startedWithin(share, 10s, false);
        }
        BOOST_TEST(started == 4, started << " with " << routers << " routers");
    }
}

BOOST_AUTO_TEST_CASE(aBorrowingHomeUsesTheSlotsThatOthersLeaveFree)
{
    WeightStoreShare share(parameters(4, 4), true);
    share.setLiveRouters(3, 0);
    BOOST_TEST(startedWithin(share, 10s, false) == 4);
}

// Prevents endless refusals: when several homes borrow at once, the store refuses loads because of its rate limit. If
// they continued to borrow, each refused load would be retried and be refused again.
BOOST_AUTO_TEST_CASE(borrowingPausesAfterARefusal)
{
    WeightStoreShare share(parameters(4, 4), true);
    share.setLiveRouters(4, 0);
    share.recordRefusal(start);
    BOOST_TEST(startedWithin(share, 9s, false) == 1);
}

BOOST_AUTO_TEST_CASE(aRouterAmongHundredsCanStillLoad)
{
    WeightStoreShare share(parameters(4, 4));
    share.setLiveRouters(370, 0);
    BOOST_CHECK(share.mayStart(start, start));
    BOOST_TEST(share.slots() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
