#include "framework/types/shutdowndeadlines.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::framework;

namespace {

const SteadyTime told { std::chrono::hours(1) };

Milliseconds from(const Deadline& deadline) { return deadline.remaining(told); }

} // namespace

BOOST_AUTO_TEST_SUITE(ShutdownDeadlinesTests)

// Operators gave routers two seconds to end. A router waited two and a half for its balancers to notice, and was ended
// by force over the requests that it held.
BOOST_AUTO_TEST_CASE(eachStepLeavesTimeForTheNextHoweverShortTheGracePeriod)
{
    for (const Milliseconds grace : { shortestGrace, Milliseconds(1000), Milliseconds(2000), Milliseconds(2500),
             Milliseconds(2900), Milliseconds(8000), usualGrace, longestGrace }) {
        const ShutdownDeadlines end = ShutdownDeadlines::after(told, grace);
        BOOST_TEST(from(end.noticedBy).count() > 0);
        BOOST_TEST(from(end.noticedBy).count() <= from(end.startBy).count());
        BOOST_TEST(from(end.startBy).count() < from(end.answerBy).count());
        BOOST_TEST(from(end.answerBy).count() < from(end.exitBy).count());
        BOOST_TEST(from(end.exitBy).count() < grace.count());
    }
}

BOOST_AUTO_TEST_CASE(theUsualPointsOfAGracePeriod)
{
    const ShutdownDeadlines end = ShutdownDeadlines::after(told, Milliseconds(8000));
    BOOST_TEST(from(end.noticedBy).count() == 2500);
    BOOST_TEST(from(end.startBy).count() == 3700);
    BOOST_TEST(from(end.answerBy).count() == 7400);
    BOOST_TEST(from(end.exitBy).count() == 7700);
}

BOOST_AUTO_TEST_SUITE_END()
