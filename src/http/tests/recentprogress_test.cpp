#include "http/internal/recentprogress.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::http {

using framework::Milliseconds;

BOOST_AUTO_TEST_SUITE(RecentProgressOfTransfers)

BOOST_AUTO_TEST_CASE(aTransferThatHasJustBegunIsRecent)
{
    const framework::SteadyTime start = std::chrono::steady_clock::now();
    RecentProgress progress;
    BOOST_TEST(progress.recentShare(start) == 1);
    progress.add(1000, start);
    BOOST_TEST(progress.recentShare(start) == 1);
}

BOOST_AUTO_TEST_CASE(aStalledTransferHasNoRecentProgress)
{
    const framework::SteadyTime start = std::chrono::steady_clock::now();
    RecentProgress progress;
    progress.add(1000, start);
    BOOST_TEST(progress.recentShare(start + 2 * RecentProgress::window) == 0);
}

// Prevents a client that sends a byte now and then from passing for one that sends slowly.
BOOST_AUTO_TEST_CASE(aDrippingTransferIsSlowerThanASteadyOne)
{
    framework::SteadyTime now = std::chrono::steady_clock::now();
    RecentProgress dripping;
    RecentProgress steady;
    dripping.add(999950, now);
    for (int second = 0; second < 50; ++second) {
        dripping.add(1, now);
        steady.add(20000, now);
        now += Milliseconds(1000);
    }
    BOOST_TEST(dripping.total() == steady.total());
    BOOST_TEST(dripping.recentShare(now) * 1000 < steady.recentShare(now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::http
