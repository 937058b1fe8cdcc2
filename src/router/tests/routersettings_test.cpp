#include "router/routersettings.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;

namespace {

std::string settingsText(const std::string& more)
{
    return R"({"role": "router", "vm": "entry-1", "site": "nz-south", "failure_domain": "a",
        "callers": "127.0.0.1:0", "link": "127.0.0.1:0", "ops": "127.0.0.1:0",
        "platform": {"url": "http://127.0.0.1:80"})"
        + more + "}";
}

std::string faultOf(const std::string& more)
{
    const auto settings = router::parseRouterSettings(settingsText(more), "router.json");
    return settings.has_error() ? describe(settings.error()) : "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouterSettings)

BOOST_AUTO_TEST_CASE(validSettingsAreParsed)
{
    const auto settings = router::parseRouterSettings(settingsText(R"(, "dispatch": {"bids": 3})"), "router.json");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings.value().dispatch.bids == 3u);
    BOOST_TEST(settings.value().identity.vm.value() == "entry-1");
    BOOST_TEST(settings.value().shutdownGrace.count() == 30000);
    const auto shorter = router::parseRouterSettings(settingsText(R"(, "shutdown_grace_ms": 8000)"), "router.json");
    BOOST_REQUIRE(shorter.has_value());
    BOOST_TEST(shorter.value().shutdownGrace.count() == 8000);
}

BOOST_AUTO_TEST_CASE(errorsNameTheFileAndTheKey)
{
    BOOST_TEST(faultOf(R"(, "colour": 1)").find("router.json: bad_settings: key \"colour\": unknown key")
        != std::string::npos);
    BOOST_TEST(faultOf(R"(, "shutdown_grace_ms": 8)").find("key \"shutdown_grace_ms\": expected") != std::string::npos);
    BOOST_TEST(faultOf(R"(, "dispatch": {"bids": 0})").find("key \"dispatch.bids\": expected") != std::string::npos);
    BOOST_TEST(faultOf(R"(, "dispatch": {"bidz": 1})").find("key \"dispatch.bidz\": unknown key") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
