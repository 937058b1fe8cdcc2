#include "framework/types/serviceend.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::framework;

namespace {

const SteadyTime told { std::chrono::hours(1) };

Milliseconds from(const Deadline& deadline) { return deadline.remaining(told); }

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceEnds)

BOOST_AUTO_TEST_CASE(eachStepLeavesTimeForTheNext)
{
    for (const Milliseconds grace : { shortestGrace, Milliseconds(8000), usualGrace, longestGrace }) {
        const ServiceEnd end = ServiceEnd::after(told, grace);
        BOOST_TEST(from(end.noticedBy).count() > 0);
        BOOST_TEST(from(end.noticedBy).count() <= from(end.startBy).count());
        BOOST_TEST(from(end.startBy).count() < from(end.answerBy).count());
        BOOST_TEST(from(end.answerBy).count() < from(end.exitBy).count());
        BOOST_TEST(from(end.exitBy).count() < grace.count());
    }
}

BOOST_AUTO_TEST_CASE(theUsualPointsOfAGracePeriod)
{
    const ServiceEnd end = ServiceEnd::after(told, Milliseconds(8000));
    BOOST_TEST(from(end.noticedBy).count() == 2500);
    BOOST_TEST(from(end.startBy).count() == 3800);
    BOOST_TEST(from(end.answerBy).count() == 7600);
    BOOST_TEST(from(end.exitBy).count() == 7900);
}

BOOST_AUTO_TEST_SUITE_END()
