#include "agent/agentsettings.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::agent;
using lagoon::framework::ErrorCode;

namespace {

std::string settings(const std::string& upstream, const std::string& more = "")
{
    return R"({"role":"agent","vm":"engine-1","site":"lagos","failure_domain":"ikeja","pool":"policy",
        "link":"127.0.0.1:0","ops":"127.0.0.1:0","platform":{"url":"http://127.0.0.1:1"},"upstream":)"
        + upstream + more + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(AgentSettingsParsing)

BOOST_AUTO_TEST_CASE(allSettingsAreRead)
{
    const auto read = parseAgentSettings(
        settings(R"({"kind":"service","url":"http://127.0.0.1:2","checks_fencing":true,"settling_ms":70})",
            R"(,"shutdown_grace_ms":8000,"limits":{"running":3,"waiting":0,"answer_bytes":1000})"),
        "agent.json");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().pool.value() == "policy");
    BOOST_CHECK(read.value().upstream.kind == UpstreamKind::Service);
    BOOST_TEST(read.value().upstream.checksFencing);
    BOOST_TEST(read.value().upstream.settling.count() == 70);
    BOOST_TEST(read.value().limits.running == 3u);
    BOOST_TEST(read.value().limits.waiting == 0u);
    BOOST_TEST(read.value().limits.answerBytes == 1000u);
    BOOST_TEST(read.value().shutdownGrace.count() == 8000);
}

BOOST_AUTO_TEST_CASE(anErrorNamesFileKeyAndExpectation)
{
    const auto checkFault = [](const std::string& text, const std::string& expected) {
        const auto read = parseAgentSettings(text, "agent.json");
        BOOST_REQUIRE(read.has_error());
        BOOST_CHECK(read.error().code == ErrorCode::BadSettings);
        BOOST_TEST(read.error().peer == "agent.json");
        BOOST_TEST(read.error().detail.find(expected) != std::string::npos, read.error().detail);
    };
    checkFault(settings(R"({"kind":"engine"})"), "upstream.url");
    checkFault(settings(R"({"kind":"oracle","url":"http://127.0.0.1:2"})"), "one of \"engine\" \"service\"");
    checkFault(settings(R"({"url":"127.0.0.1:2"})"), "upstream.url");
    checkFault(settings(R"({"url":"http://127.0.0.1:2","fencing":true})"), "unknown key");
    checkFault(settings(R"({"url":"http://127.0.0.1:2"})", R"(,"limits":{"running":0})"), "limits.running");
    checkFault(settings(R"({"url":"http://127.0.0.1:2"})", R"(,"shutdown_grace_ms":8)"), "shutdown_grace_ms");
    checkFault(settings(R"({"url":"http://127.0.0.1:2"})", R"(,"pools":["a"])"), "unknown key");
}

BOOST_AUTO_TEST_SUITE_END()
