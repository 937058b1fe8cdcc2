#include "fleet/runningfleet.h"
#include "http/testing/rawcaller.h"
#include "support/processusage.h"
#include "support/tcppeer.h"
#include "support/waitfor.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace lagoon::fleet;
using namespace lagoon::testsupport;
using lagoon::framework::Endpoint;
using lagoon::http::testing::RawCaller;

namespace {

/// The memory of the machines that routers and agents run on. A process that needs more is killed there.
constexpr double memoryMib = 260;
constexpr double agentMib = 192;
constexpr int links = 60;
/// The longest frame that an agent takes, 8 MiB, as its length on a link.
const std::string longestFrame("\0\0\x80\0", 4);
constexpr int callers = 10;
constexpr std::size_t pieceBytes = 64 * 1024;
constexpr int pieces = 320;

std::string requestsOf(std::size_t bytes)
{
    const std::string request = "GET /get/1 HTTP/1.1\r\nHost: a\r\n\r\n";
    std::string text;
    while (text.size() < bytes)
        text += request;
    return text;
}

struct HostileCallers : RunningFleet {
    bool isServed()
    {
        return fleet.call({ .target = "/get/1", .attempt = "a" + std::to_string(++attempts_), .deadlineMs = 3000 })
                   .status
            == 200;
    }

private:
    int attempts_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HostileCallersOfRouters, HostileCallers)

// Prevents the end of a router for want of memory, to which callers send requests ahead without reading the answers.
BOOST_AUTO_TEST_CASE(unreadAnswersAreBounded)
{
    const std::string ahead = requestsOf(pieceBytes);
    std::atomic<int> sent { 0 };
    std::vector<std::thread> threads;
    for (int count = 0; count < callers; ++count)
        threads.emplace_back([&] {
            RawCaller caller { Endpoint(fleet.callers()) };
            for (int piece = 0; piece < pieces && caller.send(ahead); ++piece)
                ++sent;
        });
    // The callers' sending goes on for as long as the router reads.
    const bool isSettled = isReached([&, last = -1]() mutable {
        std::this_thread::sleep_for(std::chrono::seconds(2));
        return std::exchange(last, sent.load()) == sent.load();
    });
    int served = 0;
    for (int count = 0; count < 20; ++count)
        served += isServed() ? 1 : 0;
    BOOST_TEST(served >= 19);
    BOOST_TEST(isSettled);
    BOOST_TEST(fleet.router().isRunning());
    const double peak = usageOf(fleet.router().pid()).peakResidentMib;
    BOOST_TEST(peak < memoryMib);
    BOOST_TEST_MESSAGE("sent " << sent << " pieces, resident at most " << peak << " MiB");
    fleet.stop();
    for (std::thread& thread : threads)
        thread.join();
}

// Prevents the end of an agent for want of memory, to which peers announce long frames that they don't send.
BOOST_AUTO_TEST_CASE(announcedFramesTakeNoMemory)
{
    std::vector<std::unique_ptr<TcpPeer>> peers;
    for (int count = 0; count < links; ++count) {
        peers.push_back(std::make_unique<TcpPeer>(fleet.agent(0).readyText("link")));
        peers.back()->send(longestFrame + "x");
    }
    double peak = 0;
    const auto isOver = [&] {
        peak = usageOf(fleet.agent(0).pid()).peakResidentMib;
        return peak >= agentMib;
    };
    BOOST_TEST(!isReached(isOver, lagoon::framework::Milliseconds(3000)));
    BOOST_TEST_MESSAGE("resident at most " << peak << " MiB");
    BOOST_TEST(!peers.back()->hasInput());
    BOOST_TEST(isServed());
}

BOOST_AUTO_TEST_SUITE_END()
