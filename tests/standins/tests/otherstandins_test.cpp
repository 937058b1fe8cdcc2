#include "support/httpcall.h"
#include "support/programs.h"
#include "support/record.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace lagoon::testsupport;
using std::chrono::steady_clock;
using web::json::value;

namespace {

struct WeightFixture {
    void start(const std::vector<std::string>& arguments)
    {
        process = startProgram(Program::WeightStandin, "weights", arguments, folder);
    }
    int fetch() { return getFrom(process->readyText("http"), "/v1/weights/m/v1").status; }
    std::uint64_t number(const std::string& name)
    {
        return getJson(process->readyText("http"), "/standin/record").at(name).as_number().to_uint64();
    }
    /// Returns the time that this number of concurrent fetches takes.
    std::chrono::milliseconds durationOf(std::size_t fetches)
    {
        const auto before = steady_clock::now();
        std::vector<PendingCall> calls;
        for (std::size_t index = 0; index < fetches; ++index)
            calls.emplace_back(HttpCall { .url = urlOf(process->readyText("http"), "/v1/weights/m/v1") });
        for (PendingCall& call : calls)
            BOOST_TEST(call.answer().status == 200);
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - before);
    }

    TemporaryFolder folder;
    std::unique_ptr<ChildProcess> process;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WeightStandin, WeightFixture)

BOOST_AUTO_TEST_CASE(limitsTheRateOfFetches)
{
    start({ "--loads-per-second", "0.001", "--transfer-ms", "0" });
    BOOST_TEST(fetch() == 200);
    BOOST_TEST(fetch() == 429);
    BOOST_TEST(number("fetches") == 1);
    BOOST_TEST(number("limited") == 1);
}

// Checks lower bounds only: on a busy machine transfers take longer, never shorter.
BOOST_AUTO_TEST_CASE(sharesTheBandwidthAboveTheFullSpeedLimit)
{
    start({ "--loads-per-second", "100", "--transfer-ms", "100", "--full-speed", "1" });
    BOOST_TEST((durationOf(1) >= std::chrono::milliseconds(100)));
    BOOST_TEST((durationOf(3) >= std::chrono::milliseconds(300)));
    setFaults(process->readyText("http"), R"({"slow_factor": 5})");
    BOOST_TEST((durationOf(1) >= std::chrono::milliseconds(500)));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct ServiceFixture {
    HttpCall reserveSlot(const std::string& token)
    {
        return { .method = "POST",
            .url = urlOf(endpoint, "/slots/4?day=2"),
            .body = R"({"token":")" + token + "\"}",
            .headers = { { "X-Request-Id", "r-7" } } };
    }

    TemporaryFolder folder;
    std::unique_ptr<ChildProcess> process = startProgram(Program::ServiceStandin, "service", {}, folder);
    std::string endpoint = process->readyText("http");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceStandin, ServiceFixture)

BOOST_AUTO_TEST_CASE(echoesAndRecords)
{
    const value echo = call(reserveSlot("slot-4")).json();
    BOOST_TEST(echo.at("method").as_string() == "POST");
    BOOST_TEST(echo.at("path").as_string() == "/slots/4");
    BOOST_TEST(echo.at("query").at("day").as_string() == "2");
    BOOST_TEST(echo.at("body").as_string() == R"({"token":"slot-4"})");
    const auto executions = executionsAt({ endpoint });
    BOOST_REQUIRE(executions.size() == 1);
    BOOST_TEST(executions.front().requestId == "r-7");
    BOOST_TEST(executions.front().content == "slot-4");
    BOOST_TEST(executions.front().state == "done");
}

// The slot is reserved, but the connection is closed before the answer.
BOOST_AUTO_TEST_CASE(closesAfterExecution)
{
    setFaults(endpoint, R"({"calls": {"at": "after", "do": "close"}})");
    BOOST_TEST(!call(reserveSlot("slot-5")).isComplete());
    BOOST_TEST(executionsOf({ endpoint }, "slot-5") == 1);
    BOOST_TEST(call(reserveSlot("slot-6")).status == 200);
}

BOOST_AUTO_TEST_CASE(closesBeforeExecution)
{
    setFaults(endpoint, R"({"calls": {"at": "before", "do": "close"}})");
    BOOST_TEST(!call(reserveSlot("slot-7")).isComplete());
    BOOST_TEST(executionsOf({ endpoint }, "slot-7") == 0);
}

BOOST_AUTO_TEST_CASE(recordsADisconnectedCallerAsCancelled)
{
    setFaults(endpoint, R"({"work_ms": 600000})");
    PendingCall pending(reserveSlot("slot-8"));
    waitFor("the execution has begun", [&] { return executionsOf({ endpoint }, "slot-8") == 1; });
    pending.disconnect();
    waitFor("the execution is cancelled", [&] { return executionsAt({ endpoint }).front().state == "cancelled"; });
}

BOOST_AUTO_TEST_SUITE_END()
