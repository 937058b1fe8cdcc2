#include "forwarding/versionhistory.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;
using framework::ServiceName;
using framework::SteadyTime;

const ServiceName service("engines");
constexpr Milliseconds longestStream { 60000 };
constexpr Milliseconds interval { 1000 };

struct Fixture {
    static catalog::Upstream server(const std::string& version)
    {
        catalog::Upstream made;
        made.service = service;
        if (!version.empty())
            made.version = catalog::SoftwareVersion(version);
        return made;
    }

    void list(const std::vector<std::string>& versions)
    {
        std::vector<catalog::Upstream> servers;
        for (const std::string& version : versions)
            servers.push_back(server(version));
        history.didList(servers, now);
    }

    /// Time passes while the list is confirmed again and again.
    void pass(Milliseconds time)
    {
        for (const SteadyTime end = now + time; now < end; now += interval)
            history.didConfirm(now);
        history.didConfirm(now);
    }

    std::string sole()
    {
        const auto version = history.soleVersion(service, now - longestStream, now);
        return version ? version->name() : "none";
    }

    VersionHistory history;
    SteadyTime now { std::chrono::hours(1) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(VersionHistories, Fixture)

BOOST_AUTO_TEST_CASE(aVersionIsSoleOnceItHasBeenAloneForLongerThanAnyStreamLasts)
{
    list({ "v1", "v1" });
    pass(longestStream);
    BOOST_TEST(sole() == "none");
    pass(interval);
    BOOST_TEST(sole() == "v1");
    list({ "v1" });
    BOOST_TEST(sole() == "v1");
}

// Prevents a stream of a version that has just gone from going on at the one that is left.
BOOST_AUTO_TEST_CASE(aSecondVersionStartsTheTimeAnew)
{
    list({ "v1" });
    pass(longestStream + interval);
    list({ "v1", "v2", "v1" });
    BOOST_TEST(sole() == "none");
    pass(longestStream + interval);
    BOOST_TEST(sole() == "none");
    list({ "v1" });
    BOOST_TEST(sole() == "none");
    pass(longestStream + interval);
    BOOST_TEST(sole() == "v1");
}

// Prevents the time of a former version from counting for its successor.
BOOST_AUTO_TEST_CASE(aReplacedVersionStartsTheTimeAnew)
{
    list({ "v1" });
    pass(longestStream + interval);
    list({ "v2" });
    BOOST_TEST(sole() == "none");
    list({});
    list({ "v2" });
    BOOST_TEST(sole() == "none");
}

BOOST_AUTO_TEST_CASE(aServerOfUnknownVersionMayBeOfAny)
{
    list({ "v1" });
    pass(longestStream + interval);
    list({ "v1", "" });
    BOOST_TEST(sole() == "none");
    list({ "" });
    pass(longestStream + interval);
    BOOST_TEST(sole() == "none");
}

// Prevents a router that was out of touch from missing a version that came and went meanwhile.
BOOST_AUTO_TEST_CASE(aGapInTheListStartsTheTimeAnew)
{
    list({ "v1" });
    pass(longestStream + interval);
    now += VersionHistory::maxListAge + Milliseconds(1);
    BOOST_TEST(sole() == "none");
    list({ "v1" });
    BOOST_TEST(sole() == "none");
    history.didConfirm(now);
    BOOST_TEST(sole() == "none");
    pass(longestStream + interval);
    BOOST_TEST(sole() == "v1");
}

BOOST_AUTO_TEST_CASE(aListThatWasNeverConfirmedSaysNothing)
{
    list({ "v1" });
    now += longestStream + interval;
    BOOST_TEST(sole() == "none");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
