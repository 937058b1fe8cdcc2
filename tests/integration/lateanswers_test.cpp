#include "fleet/runningfleet.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace lagoon::fleet;
using lagoon::framework::Milliseconds;
using lagoon::testsupport::waitFor;

namespace {

constexpr int trials = 6;
/// For less than this, a router prefers other servers to one that has refused a request.
constexpr Milliseconds refusalMemory { 1500 };

/// A running fleet in which bookings may be sent to three servers, and both servers send late duplicates of refusals.
struct LateAnswers : RunningFleet {
    LateAnswers()
    {
        auto routes = Fleet::defaultRoutes();
        routes.push_back(Fleet::route("/hold/", "non_idempotent", "plain"));
        routes.back()["max-attempts"] = web::json::value::number(3);
        routes.push_back(Fleet::route("/once/", "non_idempotent", "plain"));
        routes.back()["max-attempts"] = web::json::value::number(1);
        fleet.configure(routes);
        int tries = 0;
        waitFor("the route of the bookings", [&] { return book("first-" + std::to_string(++tries)).status == 200; });
        plain1.repeatRefusals();
        plain2.repeatRefusals();
    }

    int runs(const std::string& attempt) const { return plain1.runs(attempt) + plain2.runs(attempt); }

    CallerAnswer book(const std::string& attempt, const std::string& target = "/hold/1")
    {
        return call({ .target = target, .attempt = attempt, .deadlineMs = 3000 });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LateDuplicates, LateAnswers)

// Prevents a booking from running twice: a late duplicate of its first refusal was taken for the answer to its third
// send, over the same connection.
BOOST_AUTO_TEST_CASE(aDuplicateRefusalIsNotTheAnswerToALaterSendOfTheRequest)
{
    for (int trial = 0; trial < trials; ++trial) {
        std::this_thread::sleep_for(refusalMemory);
        for (int other = 0; other < 4; ++other)
            BOOST_TEST(book("other-" + std::to_string(trial) + "-" + std::to_string(other)).status == 200);
        plain1.refuseNext(1);
        plain2.refuseNext(1);
        const std::string attempt = "hold-" + std::to_string(trial);
        BOOST_TEST(book(attempt).status == 200);
        std::this_thread::sleep_for(Milliseconds(100));
        BOOST_TEST(runs(attempt) == 1);
    }
}

// Prevents a booking that runs from being refused as not run: a late duplicate of an earlier refusal, which named no
// request, was taken for its answer.
BOOST_AUTO_TEST_CASE(aDuplicateRefusalWithoutIdIsNotTheAnswerToTheNextBooking)
{
    fleet.store.remove("servers", plain2.instance());
    waitFor("the removal of a server",
        [&] { return fleet.router().output().find("\"server_unlisted\"") != std::string::npos; });
    plain1.refuseWithoutId();
    for (int trial = 0; trial < trials; ++trial) {
        std::this_thread::sleep_for(refusalMemory);
        plain1.refuseNext(1);
        BOOST_TEST(book("refused-" + std::to_string(trial), "/once/1").status == 503);
        const std::string attempt = "next-" + std::to_string(trial);
        const int status = book(attempt, "/once/1").status;
        std::this_thread::sleep_for(Milliseconds(100));
        const bool isRefusedAsNotRun = status == 503;
        BOOST_TEST(runs(attempt) == (isRefusedAsNotRun ? 0 : 1));
    }
}

BOOST_AUTO_TEST_SUITE_END()
