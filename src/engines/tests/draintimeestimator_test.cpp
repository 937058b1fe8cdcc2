#include "engines/draintimeestimator.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::engines {

namespace {

using framework::Milliseconds;
using framework::ModelName;
using framework::SteadyTime;

const SteadyTime start { std::chrono::hours(1) };
const ModelName model("chat");
const std::vector<ModelName> draining { model };

std::uint32_t inUse(const ModelName&) { return 1; }
std::uint32_t free(const ModelName&) { return 0; }

} // namespace

BOOST_AUTO_TEST_SUITE(DrainTimeEstimators)

BOOST_AUTO_TEST_CASE(aModelThatIsNotInUseNeedsNoTime)
{
    DrainTimeEstimator drains;
    BOOST_TEST(drains.expected(draining, free, start).count() == 0);
    BOOST_TEST(drains.expected(draining, inUse, start).count() > 0);
}

BOOST_AUTO_TEST_CASE(aCancelledDrainIsNotRecorded)
{
    DrainTimeEstimator drains;
    const Milliseconds before = drains.expected(draining, inUse, start);
    drains.noteDraining(draining, inUse, start);
    drains.noteDraining({}, inUse, start + Milliseconds(5000));
    drains.noteDrained(free, start + Milliseconds(9000));
    BOOST_TEST((drains.expected(draining, inUse, start + Milliseconds(9000)) == before));
}

BOOST_AUTO_TEST_CASE(aModelThatWasIdleFromTheStartIsNotRecorded)
{
    DrainTimeEstimator drains;
    const Milliseconds before = drains.expected(draining, inUse, start);
    drains.noteDraining(draining, free, start);
    drains.noteDrained(free, start + Milliseconds(10));
    BOOST_TEST((drains.expected(draining, inUse, start) == before));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::engines
