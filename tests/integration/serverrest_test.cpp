#include "fleet/runningfleet.h"
#include "support/waitfor.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

using namespace lagoon::fleet;
using lagoon::framework::Milliseconds;
using lagoon::framework::SteadyTime;
using lagoon::testsupport::waitFor;

namespace {

/// What a server that asks for a rest is promised: from this time on until its end, at most so many requests from a
/// router.
constexpr Milliseconds noticeTime { 500 };
constexpr std::size_t allowedInRest = 2;
constexpr Milliseconds sendInterval { 10 };

SteadyTime now() { return std::chrono::steady_clock::now(); }

/// A running fleet in which servers turn requests away and ask for a rest.
struct RestingServers : RunningFleet {
    std::string nextAttempt() { return "a" + std::to_string(++attempts_); }

    CallerAnswer lookup() { return call({ .target = "/get/1", .attempt = nextAttempt(), .deadlineMs = 8000 }); }

    CallerAnswer generate()
    {
        // Routers prefer other engines for other prompts, so that all engines with the model are asked for.
        const std::string attempt = nextAttempt();
        return call({ .target = "/model/1",
            .attempt = attempt,
            .model = "warm",
            .deadlineMs = 3000,
            .prompt = attempt + ":60" });
    }

    static std::size_t arrivalsBetween(const ServerStandin& server, SteadyTime from, SteadyTime to)
    {
        const auto arrivals = server.arrivals();
        return static_cast<std::size_t>(std::count_if(
            arrivals.begin(), arrivals.end(), [from, to](SteadyTime at) { return at >= from && at < to; }));
    }

    /// Sends requests until the server has turned one away and asked for a rest. Returns when that was.
    template <typename Send> SteadyTime askForRest(ServerStandin& server, const std::string& seconds, Send&& send)
    {
        server.askForRest(seconds);
        const std::size_t before = server.arrivals().size();
        waitFor("the server to turn a request away", [&] {
            send();
            return server.arrivals().size() > before;
        });
        return server.arrivals().at(before);
    }

    /// Sends requests until the time. Returns the answers.
    template <typename Send> std::vector<CallerAnswer> sendUntil(SteadyTime end, Send&& send)
    {
        std::vector<CallerAnswer> answers;
        for (; now() < end; std::this_thread::sleep_for(sendInterval))
            answers.push_back(send());
        return answers;
    }

private:
    int attempts_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerRest, RestingServers)

// Prevents requests to a server that asked for a rest, while another server takes them.
BOOST_AUTO_TEST_CASE(aPlainServerIsLeftAloneForItsRest)
{
    const SteadyTime from = askForRest(plain1, "2", [this] { return lookup(); });
    const auto answers = sendUntil(from + Milliseconds(2000), [this] { return lookup(); });
    BOOST_TEST(arrivalsBetween(plain1, from + noticeTime, from + Milliseconds(2000)) <= allowedInRest);
    for (const CallerAnswer& answer : answers)
        BOOST_TEST(answer.status == 200);
    plain1.askForRest("");
    const std::size_t before = plain1.arrivals().size();
    waitFor("the server to be used again", [&] {
        lookup();
        return plain1.arrivals().size() > before;
    });
}

// Prevents repeats of one request, and new requests, from reaching the only engine that has their model.
BOOST_AUTO_TEST_CASE(theOnlyEngineWithAModelIsLeftAloneForItsRest)
{
    const SteadyTime from = askForRest(engine1, "2.5", [this] { return generate(); });
    sendUntil(from + Milliseconds(2500), [this] { return generate(); });
    BOOST_TEST(arrivalsBetween(engine1, from + noticeTime, from + Milliseconds(2500)) <= allowedInRest);
    engine1.askForRest("");
}

// Prevents callers from waiting for servers that all rest, and untrue times to come back.
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceIfAllServersRest)
{
    plain1.askForRest("4");
    plain2.askForRest("4");
    const SteadyTime from = now();
    waitFor("both to turn a request away", [&] {
        lookup();
        return arrivalsBetween(plain1, from, now()) > 0 && arrivalsBetween(plain2, from, now()) > 0;
    });
    const SteadyTime both = now();
    const SteadyTime end = std::min(plain1.arrivals().back(), plain2.arrivals().back()) + Milliseconds(4000);
    while (now() < end - Milliseconds(500)) {
        const SteadyTime sent = now();
        const CallerAnswer answer = lookup();
        const SteadyTime answered = now();
        BOOST_REQUIRE(answer.status == 503);
        BOOST_TEST((answered - sent < Milliseconds(500)));
        BOOST_REQUIRE(answer.headers.contains("Retry-After"));
        const double seconds = std::stod(answer.headers.at("Retry-After"));
        // The header has two decimals.
        BOOST_TEST(seconds + 0.01 >= std::chrono::duration<double>(end - answered).count());
        BOOST_TEST(seconds < 6);
        std::this_thread::sleep_for(sendInterval);
    }
    BOOST_TEST(arrivalsBetween(plain1, both + noticeTime, end) <= allowedInRest);
    BOOST_TEST(arrivalsBetween(plain2, both + noticeTime, end) <= allowedInRest);
    plain1.askForRest("");
    plain2.askForRest("");
}

// Prevents a new server from being kept out for what its predecessor at the same address has asked for.
BOOST_AUTO_TEST_CASE(aNewServerAtTheAddressIsUsed)
{
    askForRest(plain1, "60", [this] { return lookup(); });
    store.remove("servers", plain1.instance());
    plain1.askForRest("");
    plain1.replaceBy("p-3", "v1");
    fleet.list(plain1, "plain");
    const std::size_t before = plain1.arrivals().size();
    waitFor("the new server to be used", [&] {
        lookup();
        return plain1.arrivals().size() > before;
    });
}

// Prevents a rest whose length can't be read from ending requests to a server, or its reader.
BOOST_AUTO_TEST_CASE(aRestThatCanNotBeReadIsNone)
{
    const SteadyTime from = askForRest(plain1, "a while", [this] { return lookup(); });
    waitFor("the server to be asked again", [&] {
        lookup();
        return arrivalsBetween(plain1, from + Milliseconds(1), now()) > 0;
    });
    plain1.askForRest("");
}

BOOST_AUTO_TEST_SUITE_END()
