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

/// From this time after a router passed on that a server leaves, it sends no request there.
constexpr Milliseconds noticeTime { 2000 };
constexpr Milliseconds observedTime { 3000 };
constexpr Milliseconds sendInterval { 20 };

SteadyTime now() { return std::chrono::steady_clock::now(); }

/// A running fleet in which servers say in their answers that they leave. Their entries stay as they are.
struct LeavingServers : RunningFleet {
    std::string nextAttempt() { return "a" + std::to_string(++attempts_); }

    CallerAnswer lookup(const std::string& target = "/get/1")
    {
        return call({ .target = target, .attempt = nextAttempt(), .deadlineMs = 3000 });
    }

    CallerAnswer generate()
    {
        // Routers prefer other engines for other prompts, so that all engines with the model are asked for.
        const std::string attempt = nextAttempt();
        return call({ .target = "/model/1",
            .attempt = attempt,
            .model = "warm",
            .deadlineMs = 8000,
            .prompt = attempt + ":60" });
    }

    static std::size_t arrivalsSince(const ServerStandin& server, SteadyTime from)
    {
        const auto arrivals = server.arrivals();
        return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(), [from](SteadyTime at) { return at >= from; }));
    }

    /// Sends requests until the server has run one, whose answer says that it leaves. Returns when that was.
    template <typename Send> SteadyTime makeLeave(ServerStandin& server, Send&& send)
    {
        server.setLeaving(true);
        const int before = server.totalRuns();
        waitFor("the server to answer that it leaves", [&] {
            send();
            return server.totalRuns() > before;
        });
        return now();
    }

    /// Sends requests for some time. Returns how many of them were served.
    template <typename Send> std::size_t sendFor(Milliseconds time, Send&& send)
    {
        std::size_t served = 0;
        for (const SteadyTime end = now() + time; now() < end; std::this_thread::sleep_for(sendInterval))
            served += send().status == 200 ? 1 : 0;
        return served;
    }

private:
    int attempts_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerLeaving, LeavingServers)

// Prevents requests to a server that has said that it leaves while the list of servers can't say so.
BOOST_AUTO_TEST_CASE(aPlainServerThatLeavesGetsNoRequestsWhileTheStoreIsAway)
{
    store.setUnavailable(true);
    const SteadyTime left = makeLeave(plain1, [this] { return lookup(); });
    const std::size_t served = sendFor(noticeTime + observedTime, [this] { return lookup(); });
    BOOST_TEST(arrivalsSince(plain1, left + noticeTime) == 0u);
    BOOST_TEST(served > 50u);
    store.setUnavailable(false);
}

// Prevents the same for requests that may run only once, whose connections are kept open.
BOOST_AUTO_TEST_CASE(aPlainServerThatLeavesGetsNoRequestsOverKeptConnections)
{
    const SteadyTime left = makeLeave(plain1, [this] { return lookup("/post/1"); });
    sendFor(noticeTime + observedTime, [this] { return lookup("/post/1"); });
    BOOST_TEST(arrivalsSince(plain1, left + noticeTime) == 0u);
}

// Prevents a model from being served by an engine that leaves although another engine can load it.
BOOST_AUTO_TEST_CASE(anEngineThatLeavesGetsNoRequestsAndItsModelIsLoadedElsewhere)
{
    const SteadyTime left = makeLeave(engine1, [this] { return generate(); });
    store.setUnavailable(true);
    const std::size_t served = sendFor(noticeTime + observedTime, [this] { return generate(); });
    BOOST_TEST(arrivalsSince(engine1, left + noticeTime) == 0u);
    BOOST_TEST(engine2.holds("warm"));
    BOOST_TEST(served > 20u);
    store.setUnavailable(false);
}

// Prevents an entry that is removed and written again as ready from bringing a server back that leaves.
BOOST_AUTO_TEST_CASE(anEntryThatSaysReadyDoesNotBringAServerBack)
{
    const SteadyTime left = makeLeave(plain1, [this] { return lookup(); });
    fleet.list(plain1, "plain");
    store.remove("servers", plain1.instance());
    waitFor("the entry's removal",
        [this] { return fleet.logLinesContaining("server_unlisted").find(plain1.instance()) != std::string::npos; });
    fleet.list(plain1, "plain");
    const std::size_t served = sendFor(noticeTime + observedTime, [this] { return lookup(); });
    BOOST_TEST(arrivalsSince(plain1, left + noticeTime) == 0u);
    BOOST_TEST(served > 50u);
}

// Prevents requests to a leaving server whose heartbeat, sent before it began to drain, the store executes late.
BOOST_AUTO_TEST_CASE(aLateHeartbeatDoesNotBringADrainingServerBack)
{
    fleet.list(plain1, "plain", "draining");
    const SteadyTime left = now();
    sendFor(Milliseconds(1000), [this] { return lookup(); });
    fleet.list(plain1, "plain");
    const std::size_t served = sendFor(noticeTime + observedTime, [this] { return lookup(); });
    BOOST_TEST(arrivalsSince(plain1, left + noticeTime) == 0u);
    BOOST_TEST(served > 50u);
}

// Prevents requests to a server that left without draining and whose removed entry a late heartbeat has written again.
BOOST_AUTO_TEST_CASE(aLateHeartbeatDoesNotBringARemovedServerBack)
{
    store.remove("servers", plain1.instance());
    const SteadyTime left = now();
    sendFor(Milliseconds(1000), [this] { return lookup(); });
    fleet.list(plain1, "plain");
    const std::size_t served = sendFor(noticeTime + Milliseconds(1000), [this] { return lookup(); });
    BOOST_TEST(arrivalsSince(plain1, left + noticeTime) == 0u);
    BOOST_TEST(served > 30u);
}

// Prevents refusals from passing by: a server that leaves may refuse requests too.
BOOST_AUTO_TEST_CASE(aRefusalSaysThatAServerLeaves)
{
    plain1.setLeaving(true);
    plain1.refuseNext(1);
    const std::size_t before = plain1.arrivals().size();
    waitFor("a refusal", [&] {
        lookup();
        return plain1.arrivals().size() > before;
    });
    const SteadyTime left = now();
    sendFor(noticeTime + observedTime, [this] { return lookup(); });
    BOOST_TEST(arrivalsSince(plain1, left + noticeTime) == 0u);
}

// Prevents a server from being kept out for what its predecessor at the same address has said.
BOOST_AUTO_TEST_CASE(aNewServerAtTheAddressIsUsed)
{
    makeLeave(plain1, [this] { return lookup(); });
    store.remove("servers", plain1.instance());
    plain1.setLeaving(false);
    plain1.replaceBy("p-3", "v1");
    fleet.list(plain1, "plain");
    const int before = plain1.totalRuns();
    waitFor("the new server to be used", [&] {
        lookup();
        return plain1.totalRuns() > before;
    });
    plain1.setLeaving(true);
    plain1.replaceBy("p-1", "v1");
}

// Prevents callers from waiting for servers that all leave.
BOOST_AUTO_TEST_CASE(requestsAreRefusedAtOnceIfAllServersLeave)
{
    makeLeave(plain1, [this] { return lookup(); });
    makeLeave(plain2, [this] { return lookup(); });
    const SteadyTime left = now();
    const CallerAnswer answer = lookup();
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.headers.contains("Retry-After"));
    BOOST_TEST(((now() - left) < Milliseconds(1500)));
}

BOOST_AUTO_TEST_SUITE_END()
