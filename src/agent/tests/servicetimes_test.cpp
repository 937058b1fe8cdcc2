#include "agent/internal/servicetimes.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::agent;
using framework::Milliseconds;

namespace {

Target model(const std::string& name) { return { { framework::ModelName(name), {} }, {} }; }

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceTimesOfTargets)

BOOST_AUTO_TEST_CASE(estimateIsUnknownBeforeTheFirstMeasurement)
{
    ServiceTimes times;
    BOOST_TEST(!times.estimateFor(model("a")).has_value());
    times.record(model("a"), Milliseconds(100));
    BOOST_TEST(times.estimateFor(model("a"))->typical.count() == 100);
    BOOST_TEST(!times.estimateFor(model("b")).has_value());
}

BOOST_AUTO_TEST_CASE(estimatesArePerTargetAndOverall)
{
    ServiceTimes times;
    for (int turn = 0; turn < 100; ++turn) {
        times.record(model("short"), Milliseconds(10));
        times.record(model("long"), Milliseconds(1010));
    }
    BOOST_TEST(times.estimateFor(model("short"))->high.count() == 11);
    BOOST_TEST(times.estimateFor(model("long"))->low.count() == 848);
    BOOST_TEST(times.estimateForAll().typical.count() > 400);
    BOOST_TEST(times.estimateForAll().typical.count() < 600);
    BOOST_TEST(times.estimateForAll().high > times.estimateForAll().typical);
}

BOOST_AUTO_TEST_SUITE_END()
