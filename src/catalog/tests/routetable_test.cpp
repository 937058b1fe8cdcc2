#include "catalog/routetable.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::catalog {

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route made;
    made.name = RouteName(name);
    made.host = host;
    made.prefix = prefix;
    made.targets.push_back({ framework::ServiceName("service"), 1 });
    return made;
}

RouteTable tableOf(std::vector<Route> routes)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = ConfigurationVersion(1);
    configuration->routes = std::move(routes);
    return RouteTable(configuration);
}

std::string foundName(const RouteTable& table, const std::string& host, const std::string& target)
{
    const Route* const found = table.find(host, target);
    return found ? found->name.value() : "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouteTables)

BOOST_AUTO_TEST_CASE(theLongestPrefixWins)
{
    const RouteTable table
        = tableOf({ route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("root", "b", "/") });
    BOOST_TEST(foundName(table, "a.example", "/x/1") == "short");
    BOOST_TEST(foundName(table, "a.example", "/x/y/1") == "long");
    BOOST_TEST(foundName(table, "a.example", "/x/y") == "short");
    BOOST_TEST(foundName(table, "b", "/anything") == "root");
}

BOOST_AUTO_TEST_CASE(aPrefixEndsAtASlash)
{
    const RouteTable table = tableOf({ route("one", "a.example", "/x/") });
    BOOST_TEST(foundName(table, "a.example", "/xy/1").empty());
    BOOST_TEST(foundName(table, "a.example", "/x").empty());
    BOOST_TEST(foundName(table, "a.example", "").empty());
    BOOST_TEST(foundName(table, "other.example", "/x/1").empty());
}

BOOST_AUTO_TEST_CASE(portCaseAndQueryAreIgnored)
{
    const RouteTable table = tableOf({ route("one", "a.example", "/x/") });
    BOOST_TEST(foundName(table, "A.Example:8080", "/x/1?to=/y/z") == "one");
    BOOST_TEST(foundName(table, "a.example", "/y?to=/x/").empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::catalog
