#include "callers/callersettings.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using framework::ErrorCode;

namespace {

framework::CheckedObject settings(const std::string& text)
{
    return { framework::parseJson(text, "file.json", ErrorCode::BadSettings).value(), "file.json", "",
        ErrorCode::BadSettings };
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerSettings)

BOOST_AUTO_TEST_CASE(limitsAreReadAndOthersKeepTheirDefaults)
{
    framework::CheckedObject object
        = settings(R"({"limits": {"body_bytes": 5, "connections": 6, "longest_timeout_ms": 7}})");
    const callers::CallerLimits limits = callers::readCallerLimits(object);
    BOOST_TEST(object.finish().has_value());
    BOOST_TEST(limits.bodyBytes == 5u);
    BOOST_TEST(limits.connections == 6u);
    BOOST_TEST(limits.maxTimeout.count() == 7);
    BOOST_TEST(limits.waitingRequests == callers::CallerLimits().waitingRequests);
}

BOOST_AUTO_TEST_CASE(anErrorNamesItsKey)
{
    framework::CheckedObject object = settings(R"({"limits": {"json_depth": 0}})");
    callers::readCallerLimits(object);
    BOOST_TEST(object.finish().error().detail == "key \"limits.json_depth\": expected a whole number from 1 to 200");
    framework::CheckedObject none = settings(R"({"limits": {"connections": 0}})");
    callers::readCallerLimits(none);
    BOOST_TEST(none.finish().error().detail == "key \"limits.connections\": expected a whole number from 1 to 100000");
}

// Prevents callers above the limit of waiting requests from seeing closed connections instead of refusals.
BOOST_AUTO_TEST_CASE(thereAreConnectionsForRefusals)
{
    const callers::CallerLimits limits;
    BOOST_TEST(limits.connections > limits.waitingRequests);
}

BOOST_AUTO_TEST_SUITE_END()
