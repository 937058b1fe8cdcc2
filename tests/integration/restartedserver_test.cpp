#include "fleet/runningfleet.h"
#include "http/testing/rawcaller.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::fleet;
using lagoon::http::testing::RawCaller;
using lagoon::testsupport::waitFor;
using web::json::value;

namespace {

/// A running fleet whose router's log can be searched.
struct FleetWithLogs : RunningFleet {
    CallerAnswer lookup(const std::string& attempt)
    {
        return call({ .method = "GET", .target = "/get/1", .attempt = attempt });
    }

    void waitForLog(const std::string& text)
    {
        waitFor("\"" + text + "\" in the router's log",
            [&] { return fleet.router().output().find(text) != std::string::npos; });
    }

    std::size_t logLines(const std::string& text)
    {
        const std::string log = fleet.router().output();
        std::size_t count = 0;
        for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
            ++count;
        return count;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RestartedServersAndForeignEntries, FleetWithLogs)

// Prevents requests from being sent to an engine that has lost its models: an engine crashes and restarts with the same
// id and without models, while its list entry and its order count look unchanged.
BOOST_AUTO_TEST_CASE(modelsAreReloadedAfterAnEngineRestart)
{
    BOOST_TEST(call({ .target = "/model/1", .attempt = "a1", .model = "warm" }).status == 200);
    engine1.restart();
    fleet.list(engine1, "engines");
    const CallerAnswer answer = call({ .target = "/model/1", .attempt = "a2", .model = "warm" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST((engine1.holds("warm") || engine2.holds("warm")));
    BOOST_TEST(engine1.violations() + engine2.violations() == 0);
}

// An engine restarts, but the list keeps showing its previous process. The agent's report of the restart is sufficient.
BOOST_AUTO_TEST_CASE(theAgentDetectsARestartThatTheListLacks)
{
    engine1.restart();
    const CallerAnswer answer = call({ .target = "/model/1", .attempt = "a1", .model = "warm" });
    BOOST_TEST(answer.status == 200);
    waitFor("the agent to see it",
        [this] { return fleet.agent(0).output().find("\"engine_restarted\"") != std::string::npos; });
}

// Prevents a stream from running twice: an engine keeps its id when it restarts, so a refusal by the new process does
// not prove that the previous process had not started the stream.
BOOST_AUTO_TEST_CASE(aStreamStartedBeforeARestartIsNotStartedAgain)
{
    engine1.setStream(100, 20);
    RawCaller caller { lagoon::framework::Endpoint(fleet.callers()) };
    caller.send(CallerRequest { .target = "/model/1", .attempt = "a1", .model = "warm" }.text());
    BOOST_TEST(caller.readUntil("word1"));
    engine1.restart();
    fleet.list(engine1, "engines");
    BOOST_TEST(!caller.readToEnd().ends_with("0\r\n\r\n"));
    BOOST_TEST(engine1.runs("a1") + engine2.runs("a1") == 1);
    engine1.setStream(3, 1);
    BOOST_TEST(call({ .target = "/model/1", .attempt = "a2", .model = "warm" }).status == 200);
    BOOST_TEST(engine1.runs("a1") + engine2.runs("a1") == 1);
}

BOOST_AUTO_TEST_CASE(aRestartedPlainServerIsUsedAgain)
{
    plain1.restart();
    plain2.restart();
    fleet.list(plain1, "plain");
    fleet.list(plain2, "plain");
    waitForLog("\"server_restarted\"");
    for (int request = 0; request < 10; ++request)
        BOOST_TEST(lookup("g" + std::to_string(request)).status == 200);
}

// Another writer overwrites the list entry of a server with an invalid state. The router must continue with the other
// servers and use this one again once it has rewritten its entry. Each change is logged once, however often the list is
// read.
BOOST_AUTO_TEST_CASE(aServerWithAnOverwrittenEntryGetsNoRequestsUntilItRewritesIt)
{
    value entry = Fleet::entry(plain1, "plain", plain1.endpoint());
    entry["state"] = value::string("Ready!");
    store.put("servers", plain1.instance(), entry);
    waitForLog("\"server_refused\"");
    const int before = plain1.totalRuns();
    for (int request = 0; request < 20; ++request)
        BOOST_TEST(lookup("g" + std::to_string(request)).status == 200);
    BOOST_TEST(plain1.totalRuns() == before);
    store.forgetHistory();
    waitForLog("\"store_history_gone\"");
    waitFor("the list to be read again", [this] { return logLines("\"kind\":\"servers\",\"objects\"") >= 2; });
    BOOST_TEST(logLines("\"server_refused\"") == 1U);
    fleet.list(plain1, "plain");
    waitFor("the server to be used again", [&] {
        lookup("later");
        return plain1.totalRuns() > before;
    });
}

// The list contains entries of other writers that are not valid server entries. None of them may hide a server, stop a
// process, or be sent a request.
BOOST_AUTO_TEST_CASE(foreignEntriesDoNotAffectTheServers)
{
    const std::vector<std::string> specs { "null", "7", "\"text\"", "[]", "{}", R"({"service":7,"address":[]})",
        R"({"service":"plain","address":")" + plain1.endpoint() + R"(","state":"ready"})", "{\"a\":\"\xff\xfe\"}",
        "NaN", "{\"service\":\"\\ud800\\u0041\"}", "\"" + std::string(100000, 'x') + "\"" };
    std::size_t index = 0;
    for (const std::string& spec : specs)
        store.putRaw("servers", "bad-" + std::to_string(index++), spec);
    value unknown = Fleet::entry(plain1, "unheard-of", plain1.endpoint());
    store.put("servers", "z-unknown", unknown);
    waitForLog("\"server_left_out\"");
    fleet.startRouter(1);
    for (std::size_t router = 0; router < 2; ++router) {
        waitFor("the router to serve", [&] {
            return fleet.call({ .method = "GET", .target = "/get/1", .attempt = "first" }, router).status == 200;
        });
        for (int request = 0; request < 10; ++request) {
            const std::string attempt = std::to_string(router) + "-" + std::to_string(request);
            BOOST_TEST(
                fleet.call({ .method = "GET", .target = "/get/1", .attempt = "g" + attempt }, router).status == 200);
            BOOST_TEST(
                fleet.call({ .target = "/model/1", .attempt = "m" + attempt, .model = "warm" }, router).status == 200);
        }
    }
    BOOST_TEST(plain1.totalRuns() > 0);
    BOOST_TEST(logLines("\"server_refused\"") == specs.size());
    // The router still receives changes of the list.
    fleet.list(plain2, "plain", "draining");
    waitForLog("\"state\":\"leaving\"");
}

BOOST_AUTO_TEST_SUITE_END()
