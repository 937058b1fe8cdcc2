#include "fleet/runningfleet.h"
#include "http/testing/rawcaller.h"
#include "support/processusage.h"
#include "support/record.h"
#include "support/tcppeer.h"
#include "support/waitfor.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

using namespace lagoon::fleet;
using namespace lagoon::testsupport;
using lagoon::framework::Endpoint;
using lagoon::http::testing::RawCaller;

namespace {

/// The memory of the machines that routers run on. A process that needs more is killed there.
constexpr double memoryMib = 260;
constexpr int connections = 10;
/// A router opens at least as many to one server.
constexpr int serverConnections = 4;
constexpr int pieces = 128;
const std::string piece(1024 * 1024, 'x');
/// Beginnings of chunked bodies that end neither their chunk's extension nor their trailers.
const std::vector<std::string> endless { "5;a=", "0\r\nX-Long: " };

struct EndlessFraming : RunningFleet {
    void checkMemory() { BOOST_TEST(usageOf(fleet.router().pid()).peakAddressSpaceMib < memoryMib); }

    bool isServed()
    {
        return fleet.call({ .target = "/get/1", .attempt = "a" + std::to_string(++attempts_), .deadlineMs = 3000 })
                   .status
            == 200;
    }

    /// Not counted in the log, which has a limited number of lines a second.
    double refusedForMemory() { return metricAt(fleet.ops(0), "lagoon_requests_refused_unread_total{status=\"503\"}"); }

    /// Sends requests without end over several connections at once, and proper ones beside.
    void checkRequests(const std::string& endpoint)
    {
        for (const std::string& begin : endless) {
            std::vector<std::thread> callers;
            for (int count = 0; count < connections; ++count)
                callers.emplace_back([&] {
                    RawCaller caller { Endpoint(endpoint) };
                    caller.send("POST /get/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + begin);
                    for (int sent = 0; sent < pieces && caller.send(piece); ++sent) { }
                });
            int served = 0;
            for (int count = 0; count < 20; ++count)
                served += isServed() ? 1 : 0;
            for (std::thread& caller : callers)
                caller.join();
            BOOST_TEST(served >= 19);
            checkMemory();
        }
    }

private:
    std::atomic<int> attempts_ { 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FramingWithoutEnd, EndlessFraming)

// Prevents the end of a router for want of memory, to which a caller sends a chunk's extension or trailers without end.
BOOST_AUTO_TEST_CASE(ofCallersIsCut) { checkRequests(fleet.callers()); }

// Prevents the same over the ports for readiness and metrics.
BOOST_AUTO_TEST_CASE(atReadinessIsCut) { checkRequests(fleet.readiness(0)); }
BOOST_AUTO_TEST_CASE(atMetricsIsCut) { checkRequests(fleet.ops(0)); }

// Prevents the end of a router for want of memory, to which a server sends a chunk's extension or trailers without end.
BOOST_AUTO_TEST_CASE(ofServersIsCut)
{
    fleet.store.remove("servers", fleet.plain1.instance());
    for (const std::string& begin : endless) {
        TcpServer faulty;
        fleet.listAt(fleet.plain2, "plain", faulty.endpoint());
        std::atomic<int> cut { 0 };
        std::vector<std::thread> callers;
        for (int count = 0; count < connections; ++count)
            callers.emplace_back([&, end = std::chrono::steady_clock::now() + std::chrono::seconds(20)] {
                while (cut < serverConnections && std::chrono::steady_clock::now() < end)
                    isServed();
            });
        std::vector<std::thread> answers;
        for (int count = 0; count < serverConnections; ++count) {
            answers.emplace_back([&, peer = std::make_shared<TcpPeer>(faulty.accept())] {
                try {
                    peer->send("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + begin);
                    for (int sent = 0; sent < pieces; ++sent)
                        peer->send(piece);
                } catch (const std::exception&) {
                    ++cut;
                }
            });
        }
        for (std::thread& thread : answers)
            thread.join();
        for (std::thread& thread : callers)
            thread.join();
        BOOST_TEST(cut == serverConnections);
        checkMemory();
    }
    fleet.list(fleet.plain2, "plain");
    waitFor("requests are served", [this] { return isServed(); });
}

// Prevents the end of a router for want of memory, to which a server sends bodies without end over many connections.
BOOST_AUTO_TEST_CASE(bodiesOfServersHaveABudget)
{
    constexpr int floods = 44;
    /// Less than the largest answer that is held, so that each is held until all were sent.
    constexpr int heldPieces = 15;
    fleet.store.remove("servers", fleet.plain1.instance());
    TcpServer faulty;
    fleet.listAt(fleet.plain2, "plain", faulty.endpoint());
    std::atomic<int> sentOrCut { 0 };
    std::vector<std::thread> threads;
    for (int count = 0; count < floods; ++count)
        threads.emplace_back([&, end = std::chrono::steady_clock::now() + std::chrono::seconds(20)] {
            while (sentOrCut < floods && std::chrono::steady_clock::now() < end)
                isServed();
        });
    // Keeps the connections open, so that what the router holds adds up.
    std::vector<std::shared_ptr<TcpPeer>> peers;
    for (int count = 0; count < floods; ++count) {
        peers.push_back(std::make_shared<TcpPeer>(faulty.accept()));
        threads.emplace_back([&sentOrCut, peer = peers.back()] {
            try {
                peer->send("HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\n");
                for (int sent = 0; sent < heldPieces; ++sent)
                    peer->send(piece);
            } catch (const std::exception&) {
                // Cut by the router.
            }
            ++sentOrCut;
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    checkMemory();
    fleet.list(fleet.plain2, "plain");
    waitFor("requests are served", [this] { return isServed(); });
}

// Prevents the end of a router for want of memory, to which many callers send proper bodies that they don't finish.
BOOST_AUTO_TEST_CASE(bodiesOfCallersHaveABudget)
{
    constexpr int callers = 100;
    constexpr int mostCallers = 90;
    const std::string body(3900000, 'x');
    std::vector<std::unique_ptr<RawCaller>> waiting;
    for (int count = 0; count < callers; ++count) {
        auto caller = std::make_unique<RawCaller>(Endpoint(fleet.callers()));
        caller->send("POST /post/1 HTTP/1.1\r\nHost: caller-" + std::to_string(count)
            + "\r\nX-Request-Attempt: a\r\nContent-Length: 4000000\r\n\r\n");
        caller->send(body);
        waiting.push_back(std::move(caller));
    }
    int served = 0;
    for (int count = 0; count < 20; ++count)
        served += isServed() ? 1 : 0;
    BOOST_TEST(served >= 19);
    checkMemory();
    waitFor("the refusal of most", [&] { return refusedForMemory() >= mostCallers; });
    waitFor("refusals in the log", [&] { return !fleet.logLinesContaining("\"request_refused_unread\"").empty(); });
    fleet.stop();
    int refused = 0;
    for (const auto& caller : waiting) {
        const CallerAnswer answer = parseAnswer(caller->readToEnd());
        refused += answer.status == 503 && answer.headers.contains("Retry-After") ? 1 : 0;
    }
    BOOST_TEST(refused >= mostCallers);
}

BOOST_AUTO_TEST_SUITE_END()
