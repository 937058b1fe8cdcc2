#include "agent/internal/servicetimes.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::agent;
using framework::Milliseconds;

namespace {

Target model(const std::string& name) { return { { framework::ModelName(name), {} }, {} }; }

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceTimesOfTargets)

BOOST_AUTO_TEST_CASE(nothingIsKnownBeforeTheFirst)
{
    ServiceTimes times;
    BOOST_TEST(!times.of(model("a")).has_value());
    times.record(model("a"), Milliseconds(100));
    BOOST_TEST(times.of(model("a"))->typical.count() == 100);
    BOOST_TEST(!times.of(model("b")).has_value());
}

BOOST_AUTO_TEST_CASE(targetsAreApartAndAlsoTakenTogether)
{
    ServiceTimes times;
    for (int turn = 0; turn < 100; ++turn) {
        times.record(model("short"), Milliseconds(10));
        times.record(model("long"), Milliseconds(1010));
    }
    BOOST_TEST(times.of(model("short"))->high.count() == 11);
    BOOST_TEST(times.of(model("long"))->low.count() == 848);
    BOOST_TEST(times.ofAll().typical.count() > 400);
    BOOST_TEST(times.ofAll().typical.count() < 600);
    BOOST_TEST(times.ofAll().high > times.ofAll().typical);
}

BOOST_AUTO_TEST_SUITE_END()
