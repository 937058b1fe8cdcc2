#include "direct/drainplan.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::direct {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

const SteadyTime begun { std::chrono::hours(5) };

} // namespace

BOOST_AUTO_TEST_SUITE(DrainPlans)

BOOST_AUTO_TEST_CASE(mostOfTheGracePeriodIsForRequests)
{
    const DrainPlan plan = drainPlan(begun, Milliseconds(8000));
    BOOST_TEST(plan.takesUntil.remaining(begun).count() == 2500);
    BOOST_TEST(plan.answersBy.remaining(begun).count() == 7400);
    BOOST_TEST(plan.endsBy.remaining(begun).count() == 7700);
}

// Operators gave routers two seconds to end. A router waited two and a half for its balancers to notice, and was ended
// by force over the requests that it held.
BOOST_AUTO_TEST_CASE(allIsOverWithinTheGracePeriodHoweverShort)
{
    for (const int grace : { 500, 1000, 2000, 2500, 2900, 3000, 8000, 600000 }) {
        const DrainPlan plan = drainPlan(begun, Milliseconds(grace));
        BOOST_TEST_CONTEXT(grace)
        {
            BOOST_TEST((begun < plan.takesUntil.at()));
            BOOST_TEST((plan.takesUntil <= plan.answersBy));
            BOOST_TEST((plan.answersBy < plan.endsBy));
            BOOST_TEST((plan.endsBy.at() < begun + Milliseconds(grace)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::direct
