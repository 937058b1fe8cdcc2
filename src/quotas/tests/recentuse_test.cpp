#include "quotas/recentuse.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::quotas {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

const SteadyTime start(std::chrono::hours(1));
const AllowanceTerms terms { 100, 250, 0, false };

} // namespace

BOOST_AUTO_TEST_SUITE(RecentUses)

BOOST_AUTO_TEST_CASE(usesAreForgottenAfterTheRetention)
{
    RecentUse use;
    use.add(10, start);
    use.add(20, start + Milliseconds(4000));
    use.expire(start + RecentUse::retention);
    BOOST_TEST(use.sum() == 30);
    use.expire(start + RecentUse::retention + Milliseconds(1));
    BOOST_TEST(use.sum() == 20);
}

/// Guards against an account that grows with the number of requests.
BOOST_AUTO_TEST_CASE(usesWithinAStepAreOne)
{
    RecentUse use;
    for (int request = 0; request < 20000; ++request) {
        use.add(1, start + Milliseconds(request));
        use.expire(start + Milliseconds(request));
    }
    BOOST_TEST(use.steps().size() <= 62U);
}

BOOST_AUTO_TEST_CASE(whatIsTakenBackWasUsedLast)
{
    RecentUse use;
    use.add(10, start);
    use.add(10, start + Milliseconds(1000));
    use.takeBack(15);
    BOOST_REQUIRE(use.steps().size() == 1U);
    BOOST_TEST(use.steps().front().amount == 5);
    use.takeBack(100);
    BOOST_TEST(use.isEmpty());
}

BOOST_AUTO_TEST_CASE(theLevelIsThatOfABucketWithTheseUses)
{
    BOOST_TEST(levelAfter({}, 250, terms, start) == 250);
    BOOST_TEST(levelAfter({ { start - Milliseconds(1000), 250 } }, 250, terms, start) == 100);
    // What came in before the first use, while the bucket was full, is lost.
    BOOST_TEST(levelAfter({ { start, 50 }, { start - Milliseconds(1000), 200 } }, 250, terms, start) == 100);
    BOOST_TEST(levelAfter({ { start - Milliseconds(5000), 200 } }, 250, terms, start) == 250);
    BOOST_TEST(levelAfter({ { start - RecentUse::retention, 400 } }, 250, terms, start) == 250);
    BOOST_TEST(levelAfter({ { start - RecentUse::retention, 1500 } }, 0, terms, start) == 0);
}

/// Guards against uses that count as not yet made because their step hasn't ended.
BOOST_AUTO_TEST_CASE(usesOfTheCurrentStepCount)
{
    BOOST_TEST(levelAfter({ { start + Milliseconds(200), 100 } }, 250, terms, start) == 150);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::quotas
