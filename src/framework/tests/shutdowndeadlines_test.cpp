#include "framework/types/shutdowndeadlines.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::framework;

namespace {

const SteadyTime signalledAt { std::chrono::hours(1) };

Milliseconds remainingUntil(const Deadline& deadline) { return deadline.remaining(signalledAt); }

} // namespace

BOOST_AUTO_TEST_SUITE(ShutdownDeadlinesTests)

// Prevents a process from being killed before it has answered: with a grace period of 2 s, a router waited 2.5 s for
// its balancers to notice its shutdown, and was killed while it still had requests.
BOOST_AUTO_TEST_CASE(eachDeadlineLeavesTimeForTheNextAtAnyGracePeriod)
{
    for (const Milliseconds grace : { minGrace, Milliseconds(1000), Milliseconds(2000), Milliseconds(2500),
             Milliseconds(2900), Milliseconds(8000), defaultGrace, maxGrace }) {
        const ShutdownDeadlines deadlines = ShutdownDeadlines::after(signalledAt, grace);
        BOOST_TEST(remainingUntil(deadlines.noticedBy).count() > 0);
        BOOST_TEST(remainingUntil(deadlines.noticedBy).count() <= remainingUntil(deadlines.startBy).count());
        BOOST_TEST(remainingUntil(deadlines.startBy).count() < remainingUntil(deadlines.answerBy).count());
        BOOST_TEST(remainingUntil(deadlines.answerBy).count() < remainingUntil(deadlines.exitBy).count());
        BOOST_TEST(remainingUntil(deadlines.exitBy).count() < grace.count());
    }
}

BOOST_AUTO_TEST_CASE(deadlinesOfAnEightSecondGracePeriod)
{
    const ShutdownDeadlines deadlines = ShutdownDeadlines::after(signalledAt, Milliseconds(8000));
    BOOST_TEST(remainingUntil(deadlines.noticedBy).count() == 2500);
    BOOST_TEST(remainingUntil(deadlines.startBy).count() == 3700);
    BOOST_TEST(remainingUntil(deadlines.answerBy).count() == 7400);
    BOOST_TEST(remainingUntil(deadlines.exitBy).count() == 7700);
}

BOOST_AUTO_TEST_SUITE_END()
