#include "framework/loglimiter.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::framework;

BOOST_AUTO_TEST_SUITE(LogLimiters)

// Prevents a crowd of refused callers from filling the log.
BOOST_AUTO_TEST_CASE(eventsAboveTheRateAreCountedOnly)
{
    SteadyTime now = std::chrono::steady_clock::now();
    LogLimiter limiter(3);
    int lines = 0;
    for (int event = 0; event < 100; ++event)
        lines += limiter.admit(now) ? 1 : 0;
    BOOST_TEST(lines == 3);
    now += Milliseconds(1000);
    BOOST_TEST(limiter.admit(now).value() == 97U);
    BOOST_TEST(limiter.admit(now).value() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
