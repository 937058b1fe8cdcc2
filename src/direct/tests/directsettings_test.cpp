#include "direct/directsettings.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::direct {

namespace {

std::string routerSettings(const std::string& more)
{
    return R"({ "role": "direct-router", "vm": "v", "site": "s", "failure_domain": "d", "callers": "10.0.0.1:1",
        "readiness": "10.0.0.1:2", "ops": "10.0.0.1:3", "object_store": "10.0.0.1:4", "agent_port": 5)"
        + more + " }";
}

framework::Result<DirectRouterSettings> parsed(const std::string& more)
{
    return parseDirectRouterSettings(routerSettings(more), "router.json");
}

} // namespace

BOOST_AUTO_TEST_SUITE(DirectSettings)

BOOST_AUTO_TEST_CASE(allPoliciesAreOnByDefault)
{
    const policy::PolicySwitches policy = parsed("").value().policy;
    BOOST_TEST(policy.copiesBusyModels);
    BOOST_TEST(policy.leavesSilentEngines);
}

BOOST_AUTO_TEST_CASE(theLeavingNoticeIsValidated)
{
    BOOST_TEST(parsed("").value().leavingNotice.count() == 2000);
    BOOST_TEST(parsed(R"(, "leaving_notice_ms": 4000)").value().leavingNotice.count() == 4000);
    const auto tooShort = parsed(R"(, "leaving_notice_ms": 10)");
    BOOST_REQUIRE(tooShort.has_error());
    BOOST_TEST(describe(tooShort.error()).find("leaving_notice_ms") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(theOutageNoticeIsValidated)
{
    BOOST_TEST(parsed("").value().outageNotice.count() == 3000);
    BOOST_TEST(parsed(R"(, "outage_notice_ms": 5000)").value().outageNotice.count() == 5000);
    BOOST_TEST(parsed("").value().heartbeat.count() == 1200);
    BOOST_TEST(parsed(R"(, "heartbeat_ms": 900)").value().heartbeat.count() == 900);
    const auto tooShort = parsed(R"(, "outage_notice_ms": 100)");
    BOOST_REQUIRE(tooShort.has_error());
    BOOST_TEST(describe(tooShort.error()).find("outage_notice_ms") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(theMemoryIsValidatedAndMayHaveAFraction)
{
    BOOST_TEST(parsed("").value().memory.value() == 1024U);
    BOOST_TEST(parsed(R"(, "memory_mb": 260.5)").value().memory.value() == 260U);
    const auto slower = parsed(R"(, "caller_progress": { "body_ms": 90000, "answer_bytes": 1024 })").value();
    BOOST_TEST(slower.callerProgress.bodyTime.count() == 90000);
    BOOST_TEST(slower.callerProgress.bodyBytes == CallerProgress().bodyBytes);
    BOOST_TEST(slower.callerProgress.answerBytes == 1024U);
    const auto unknown = parsed(R"(, "caller_progress": { "body_s": 90 })");
    BOOST_REQUIRE(unknown.has_error());
    BOOST_TEST(describe(unknown.error()).find("body_s") != std::string::npos);
    const auto tooLittle = parsed(R"(, "memory_mb": 1)");
    BOOST_REQUIRE(tooLittle.has_error());
    BOOST_TEST(describe(tooLittle.error()).find("memory_mb") != std::string::npos);
}

// Prevents a router from not starting because the platform states a time with a fraction.
BOOST_AUTO_TEST_CASE(timesMayHaveAFraction)
{
    BOOST_TEST(parsed(R"(, "grace_s": 7.5)").value().grace.count() == 7500);
    BOOST_TEST(parsed(R"(, "grace_s": 8)").value().grace.count() == 8000);
    BOOST_TEST(parsed(R"(, "grace_ms": 2500.4)").value().grace.count() == 2500);
    BOOST_TEST(parsed(R"(, "leaving_notice_ms": 1999.6)").value().leavingNotice.count() == 2000);
    BOOST_TEST(parsed(R"(, "outage_notice_ms": 2500.5)").value().outageNotice.count() == 2501);
    BOOST_TEST(parsed(R"(, "heartbeat_ms": 1200.2)").value().heartbeat.count() == 1200);
    BOOST_TEST(parsed(R"(, "keys": { "within_ms": 3000.7 })").value().revocationTime.count() == 3001);
    for (const std::string bad : { R"("grace_s": 0.2)", R"("grace_s": 8, "grace_ms": 8000)", R"("grace_s": "8")",
             R"("grace_s": 601)", R"("grace_ms": 100)" }) {
        const auto refused = parsed(", " + bad);
        BOOST_REQUIRE(refused.has_error());
        BOOST_TEST(describe(refused.error()).find("grace_") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(aPolicyCanBeSwitchedOffByName)
{
    const policy::PolicySwitches policy = parsed(R"(, "policy": { "fetches_ahead": false })").value().policy;
    BOOST_TEST(!policy.fetchesAhead);
    BOOST_TEST(policy.copiesBusyModels);
}

BOOST_AUTO_TEST_CASE(unknownPoliciesAndNonBooleanValuesAreRejected)
{
    const auto unknown = parsed(R"(, "policy": { "fetches_behind": false })");
    BOOST_REQUIRE(unknown.has_error());
    BOOST_TEST(describe(unknown.error()).find("fetches_behind") != std::string::npos);
    const auto number = parsed(R"(, "policy": { "fetches_ahead": 1 })");
    BOOST_REQUIRE(number.has_error());
    BOOST_TEST(describe(number.error()).find("fetches_ahead") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(theQuarantineIsValidated)
{
    BOOST_TEST(parsed("").value().quarantine.crashes == 3u);
    const auto changed = parsed(R"(, "quarantine": { "crashes": 5, "duration_ms": 60000 })").value().quarantine;
    BOOST_TEST(changed.crashes == 5u);
    BOOST_TEST(changed.duration.count() == 60000);
    for (const std::string bad : { R"("crashes": 1)", R"("duration_ms": 10)", R"("crashers": 3)" }) {
        const auto refused = parsed(R"(, "quarantine": { )" + bad + " }");
        BOOST_REQUIRE(refused.has_error());
        BOOST_TEST(describe(refused.error()).find("quarantine") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(theEndOfRevokedRequestsIsValidated)
{
    BOOST_TEST(!parsed("").value().endsRevokedRequests);
    const auto strict = parsed(R"(, "keys": { "ends_revoked": true, "within_ms": 3000 })").value();
    BOOST_TEST(strict.endsRevokedRequests);
    BOOST_TEST(strict.revocationTime.count() == 3000);
    for (const std::string bad : { R"("ends_revoked": 1)", R"("within_ms": -1)", R"("within_ms": 600001)",
             R"("within_ms": "soon")", R"("ends": true)" }) {
        const auto refused = parsed(R"(, "keys": { )" + bad + " }");
        BOOST_REQUIRE(refused.has_error());
        BOOST_TEST(describe(refused.error()).find("keys") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::direct
