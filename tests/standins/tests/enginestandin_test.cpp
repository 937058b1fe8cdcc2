#include "support/httpcall.h"
#include "support/programs.h"
#include "support/record.h"
#include "support/tcppeer.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;
using web::json::value;

namespace {

struct EngineFixture {
    int order(const std::string& kind, const std::string& model, std::uint64_t memoryMib = 10, std::uint64_t fence = 1,
        const std::string& adapter = "")
    {
        value body;
        body["order"] = value::string(kind);
        body["model"] = value::string(model);
        body["adapter"] = value::string(adapter);
        body["version"] = value::string("v1");
        body["memory_mib"] = value::number(memoryMib);
        body["fence"] = value::number(fence);
        return call({ .method = "POST", .url = urlOf(endpoint, "/v1/orders"), .body = body.serialize() }).status;
    }
    std::string stateOf(const std::string& model)
    {
        const value state = getJson(endpoint, "/v1/state");
        for (const value& replica : state.at("replicas").as_array()) {
            if (replica.at("model").as_string() == model)
                return replica.at("state").as_string();
        }
        return "";
    }
    void load(const std::string& model)
    {
        BOOST_REQUIRE(order("load", model) == 202);
        waitFor(model + " is loaded", [&] { return stateOf(model) == "loaded"; });
    }
    HttpCall completion(const std::string& model, const std::string& prompt, bool isStream)
    {
        value body;
        body["model"] = value::string(model);
        body["prompt"] = value::string(prompt);
        body["stream"] = value::boolean(isStream);
        return { .method = "POST",
            .url = urlOf(endpoint, "/v1/completions"),
            .body = body.serialize(),
            .headers = { { "X-Request-Id", "r-1" } } };
    }
    std::string executionState()
    {
        const auto executions = executionsAt({ endpoint });
        return executions.empty() ? "none" : executions.back().state;
    }

    TemporaryFolder folder;
    std::unique_ptr<ChildProcess> process
        = startProgram(Program::EngineStandin, "engine", { "--memory-mib", "25", "--load-ms", "20" }, folder);
    std::string endpoint = process->readyText("http");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineStandin, EngineFixture)

BOOST_AUTO_TEST_CASE(answersEchoTheirOwnPrompt)
{
    BOOST_TEST(call(completion("m", "x", false)).status == 404);
    load("m");
    const HttpAnswer whole = call(completion("m", "alpha beta", false));
    BOOST_TEST(whole.json().at("choices").at(0).at("text").as_string() == "alpha beta");
    const HttpAnswer stream = call(completion("m", "gamma delta", true));
    BOOST_TEST(stream.headers.at("content-type") == "text/event-stream");
    BOOST_TEST(stream.body.find("\"text\":\"gamma\"") != std::string::npos);
    BOOST_TEST(stream.body.find("\"text\":\" delta\"") != std::string::npos);
    BOOST_TEST(stream.body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(executionsOf({ endpoint }, "gamma delta") == 1);
    BOOST_TEST(executionsAt({ endpoint }).front().requestId == "r-1");
}

BOOST_AUTO_TEST_CASE(countsOvercommitAsAViolation)
{
    load("m");
    load("n");
    BOOST_TEST(violationsAt({ endpoint }).empty());
    BOOST_TEST(order("load", "o") == 507);
    BOOST_TEST(violationsAt({ endpoint }).size() == 1);
    BOOST_TEST(order("unload", "m") == 202);
    waitFor("m is unloaded", [&] { return stateOf("m").empty(); });
    load("o");
    BOOST_TEST(violationsAt({ endpoint }).size() == 1);
}

BOOST_AUTO_TEST_CASE(repeatedOrdersHaveNoEffectAndInvalidOnesAreRefused)
{
    load("m");
    BOOST_TEST(order("load", "m") == 202);
    BOOST_TEST(loadsOf({ endpoint }, "m") == 1);
    BOOST_TEST(order("unload", "x") == 409);
    BOOST_TEST(order("load", "y", 1, 1, "adapter") == 409);
    BOOST_TEST(order("load", "m", 1, 1, "adapter") == 202);
    BOOST_TEST(order("unload", "m") == 409);
}

BOOST_AUTO_TEST_CASE(checksFencingTokensUnlessDisabled)
{
    BOOST_TEST(order("load", "m", 10, 5) == 202);
    waitFor("m is loaded", [&] { return stateOf("m") == "loaded"; });
    BOOST_TEST(order("unload", "m", 10, 4) == 409);
    BOOST_TEST(stateOf("m") == "loaded");
    setFaults(endpoint, R"({"checks_fencing": false})");
    BOOST_TEST(order("unload", "m", 10, 4) == 202);
}

BOOST_AUTO_TEST_CASE(loadsFailOrCrashTheProcess)
{
    setFaults(endpoint, R"({"loads": {"do": "fail", "count": 1}})");
    BOOST_TEST(order("load", "m") == 202);
    waitFor("the load has failed", [&] { return stateOf("m").empty(); });
    load("m");
    setFaults(endpoint, R"({"loads": {"do": "die", "count": 1}})");
    BOOST_TEST(order("load", "n") == 202);
    BOOST_TEST(process->waitForExit() == 9);
}

// A load order stays unread in the engine's receive buffer while its sender dies. Nobody gets an answer, the engine's
// state doesn't show the load, and then the load begins.
BOOST_AUTO_TEST_CASE(aDelayedLoadBeginsAfterItsCallerDisconnected)
{
    setFaults(endpoint, R"({"late_loads": {"count": 1, "delay_ms": 300}})");
    const std::string body = R"({"order":"load","model":"m","adapter":"","version":"v1","memory_mib":10,"fence":1})";
    TcpPeer late(endpoint);
    late.send("POST /v1/orders HTTP/1.1\r\nHost: engine\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body);
    BOOST_TEST(order("unload", "m") == 409);
    late.close();
    waitFor("the delayed load has finished", [&] { return stateOf("m") == "loaded"; });
}

BOOST_AUTO_TEST_CASE(ignoresAnUnload)
{
    load("m");
    setFaults(endpoint, R"({"ignored_unloads": 1})");
    BOOST_TEST(order("unload", "m") == 202);
    BOOST_TEST(stateOf("m") == "loaded");
}

// The engine executes the request, but the engine or the connection fails before the answer is sent.
BOOST_AUTO_TEST_CASE(closesAfterExecution)
{
    load("m");
    setFaults(endpoint, R"({"calls": {"at": "after", "do": "close", "count": 1}})");
    const HttpAnswer answer = call(completion("m", "once", false));
    BOOST_TEST(!answer.isComplete());
    BOOST_TEST(answer.status == 0);
    BOOST_TEST(executionsOf({ endpoint }, "once") == 1);
    BOOST_TEST(executionState() == "done");
}

BOOST_AUTO_TEST_CASE(hangsBeforeDuringAndAfterACompletion)
{
    load("m");
    setFaults(endpoint, R"({"calls": {"at": "before", "do": "hang"}})");
    PendingCall before(completion("m", "before it", true));
    waitFor(
        "the request occupies a slot", [&] { return getJson(endpoint, "/v1/state").at("running").as_integer() == 1; });
    BOOST_TEST(executionsOf({ endpoint }, "before it") == 0);
    setFaults(endpoint, R"({"calls": {"at": "during", "do": "hang"}})");
    BOOST_TEST(!before.answer().isComplete());
    PendingCall during(completion("m", "during it", true));
    waitFor("the first token has arrived", [&] { return during.bodySoFar().find("during") != std::string::npos; });
    BOOST_TEST(executionState() == "running");
    setFaults(endpoint, R"({"calls": {"at": "after", "do": "hang"}})");
    BOOST_TEST(!during.answer().isComplete());
    PendingCall after(completion("m", "after it", true));
    waitFor("the execution is done", [&] { return executionState() == "done"; });
    BOOST_TEST(!after.isFinished());
}

BOOST_AUTO_TEST_CASE(aDisconnectingCallerCancelsTheCompletion)
{
    load("m");
    setFaults(endpoint, R"({"slow_token_ms": 600000})");
    PendingCall pending(completion("m", "never", true));
    waitFor("the execution has begun", [&] { return executionState() == "running"; });
    pending.disconnect();
    waitFor("the execution is cancelled", [&] { return executionState() == "cancelled"; });
}

BOOST_AUTO_TEST_SUITE_END()
