#include "engines/drainwatch.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::engines {

namespace {

using framework::Milliseconds;
using framework::ModelName;
using framework::SteadyTime;

const SteadyTime start { std::chrono::hours(1) };
const ModelName model("chat");
const std::vector<ModelName> leaving { model };

std::uint32_t inUse(const ModelName&) { return 1; }
std::uint32_t free(const ModelName&) { return 0; }

} // namespace

BOOST_AUTO_TEST_SUITE(DrainWatches)

BOOST_AUTO_TEST_CASE(whatIsFreeNeedsNoTime)
{
    DrainWatch drains;
    BOOST_TEST(drains.expected(leaving, free, start).count() == 0);
    BOOST_TEST(drains.expected(leaving, inUse, start).count() > 0);
}

BOOST_AUTO_TEST_CASE(aModelThatIsKeptAfterAllTeachesNothing)
{
    DrainWatch drains;
    const Milliseconds before = drains.expected(leaving, inUse, start);
    drains.noteLeaving(leaving, inUse, start);
    drains.noteLeaving({}, inUse, start + Milliseconds(5000));
    drains.noteDrained(free, start + Milliseconds(9000));
    BOOST_TEST((drains.expected(leaving, inUse, start + Milliseconds(9000)) == before));
}

BOOST_AUTO_TEST_CASE(whatWasFreeAtOnceTeachesNothing)
{
    DrainWatch drains;
    const Milliseconds before = drains.expected(leaving, inUse, start);
    drains.noteLeaving(leaving, free, start);
    drains.noteDrained(free, start + Milliseconds(10));
    BOOST_TEST((drains.expected(leaving, inUse, start) == before));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::engines
