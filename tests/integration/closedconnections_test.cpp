#include "fleet/runningfleet.h"
#include "http/testing/rawcaller.h"
#include "support/waitfor.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace lagoon::fleet;
using lagoon::framework::Endpoint;
using lagoon::framework::Milliseconds;
using lagoon::http::testing::RawCaller;
using lagoon::testsupport::waitFor;

namespace {

const std::string lastChunk = "0\r\n\r\n";
constexpr Milliseconds networkDelay { 20 };
constexpr Milliseconds idleTime { 300 };
constexpr Milliseconds thinkTime { 2000 };
constexpr Milliseconds bookingTime { 700 };
/// Every so many callers, one sends its bodies slowly.
constexpr int slowCallers = 4;

struct ClosedConnectionsFixture : RunningFleet {
    std::unique_ptr<RawCaller> connect() { return std::make_unique<RawCaller>(Endpoint(fleet.callers())); }

    bool isAccepting()
    {
        try {
            connect();
            return true;
        } catch (const boost::system::system_error&) {
            return false;
        }
    }

    /// Makes a booking over a connection that stays open. Returns whether a complete answer came.
    static bool book(RawCaller& connection, const std::string& attempt, bool sendsSlowly)
    {
        const std::string text
            = CallerRequest { .target = "/post/1", .attempt = attempt, .deadlineMs = 20000, .keepsAlive = true }.text();
        const std::size_t first = sendsSlowly ? text.size() - 1 : text.size();
        connection.clearReceived();
        connection.send(text.substr(0, first));
        if (sendsSlowly)
            std::this_thread::sleep_for(bookingTime);
        connection.send(text.substr(first));
        const bool hasHead = connection.readUntil("\r\n\r\n");
        return hasHead && (!connection.received().starts_with("HTTP/1.1 200") || connection.readUntil("body"));
    }

    /// Sends a request for a stream until it isn't refused, as a burst of requests may be, and the stream has begun.
    std::unique_ptr<RawCaller> beginStream(const std::string& attempt)
    {
        std::unique_ptr<RawCaller> caller;
        int tries = 0;
        waitFor("a stream to begin", [&] {
            caller = connect();
            caller->send(CallerRequest { .target = "/model/1",
                .attempt = attempt + "-" + std::to_string(++tries),
                .model = "warm",
                .keepsAlive = true }
                             .text());
            return caller->readUntil("\r\n\r\n") && caller->received().starts_with("HTTP/1.1 200")
                && caller->readUntil("word1");
        });
        return caller;
    }

    void sendSigterm()
    {
        fleet.router().sendSignal(SIGTERM);
        waitFor("the router to report that it is not ready", [this] { return !fleet.isReady(); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClosedConnections, ClosedConnectionsFixture)

// Prevents requests without an answer: callers send their next one as soon as a stream has ended, on connections that a
// router closes because it shuts down.
BOOST_AUTO_TEST_CASE(aRequestRightAfterAStreamIsAnsweredDuringShutdown)
{
    constexpr int callerCount = 20;
    engine1.setStream(150, 20);
    engine2.setStream(150, 20);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < callerCount; ++i)
        callers.push_back(beginStream("s" + std::to_string(i)));
    sendSigterm();
    std::atomic<int> streams { 0 };
    std::atomic<int> answers { 0 };
    std::vector<std::jthread> threads;
    for (int i = 0; i < callerCount; ++i) {
        threads.emplace_back([&, i] {
            RawCaller& caller = *callers[static_cast<std::size_t>(i)];
            streams += caller.readUntil(lastChunk) ? 1 : 0;
            caller.clearReceived();
            std::this_thread::sleep_for(networkDelay);
            caller.send(
                CallerRequest { .target = "/post/1", .attempt = "n" + std::to_string(i), .keepsAlive = true }.text());
            answers += parseAnswer(caller.readToEnd()).isComplete ? 1 : 0;
        });
    }
    threads.clear();
    BOOST_TEST(streams == callerCount);
    BOOST_TEST(answers == callerCount);
    BOOST_TEST(fleet.router().waitForExit() == 0);
}

// Prevents requests without an answer: callers think for some time after a stream that began before the shutdown, whose
// head doesn't announce the end of its connection.
BOOST_AUTO_TEST_CASE(requestsSomeTimeAfterAStreamAreAnsweredDuringShutdown)
{
    engine1.setStream(20, 20);
    engine2.setStream(20, 20);
    const auto caller = beginStream("s");
    sendSigterm();
    BOOST_REQUIRE(caller->readUntil(lastChunk));
    caller->clearReceived();
    std::this_thread::sleep_for(thinkTime);
    caller->send(CallerRequest { .target = "/post/1", .attempt = "next", .keepsAlive = true }.text());
    BOOST_TEST(parseAnswer(caller->readToEnd()).isComplete);
    BOOST_TEST(fleet.router().waitForExit() == 0);
}

// Prevents requests without an answer: callers that keep a connection send their next request when the router has been
// shutting down for some time.
BOOST_AUTO_TEST_CASE(requestsOnKeptConnectionsAreAnsweredDuringShutdown)
{
    const auto plain = connect();
    const auto stream = connect();
    for (const auto& caller : { plain.get(), stream.get() }) {
        caller->send(CallerRequest { .target = "/post/1", .attempt = "first", .keepsAlive = true }.text());
        BOOST_REQUIRE(caller->readUntil("body"));
        caller->clearReceived();
    }
    sendSigterm();
    waitFor("the router to accept no more connections", [this] { return !isAccepting(); });
    std::this_thread::sleep_for(idleTime);
    plain->send(CallerRequest { .target = "/post/1", .attempt = "plain", .keepsAlive = true }.text());
    const CallerAnswer answer = parseAnswer(plain->readToEnd());
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.headers.contains("Connection"));
    // Its stream might not end in time, so it is to be sent elsewhere at once.
    stream->send(
        CallerRequest { .target = "/model/1", .attempt = "stream", .model = "warm", .keepsAlive = true }.text());
    BOOST_TEST(parseAnswer(stream->readToEnd()).status == 503);
    BOOST_TEST(engine1.runs("stream") + engine2.runs("stream") == 0);
    BOOST_TEST(fleet.router().waitForExit() == 0);
}

// Prevents bookings that are taken late in the grace period, passed on and cut at its end: callers keep their
// connections in use until the process is gone, and some of them send their bodies slowly.
BOOST_AUTO_TEST_CASE(bookingsSentUntilTheProcessIsGoneAreAnsweredOrNotPassedOn)
{
    constexpr int callerCount = 40;
    plain1.setWork(bookingTime);
    plain2.setWork(bookingTime);
    std::atomic<int> answers { 0 };
    std::atomic<int> cut { 0 };
    const auto bookUntilRefused = [&](int caller) {
        std::unique_ptr<RawCaller> connection = connect();
        for (int number = 0;; ++number) {
            const std::string attempt = "b" + std::to_string(caller) + "-" + std::to_string(number);
            const bool isAnswered = book(*connection, attempt, caller % slowCallers == 0);
            answers += isAnswered ? 1 : 0;
            cut += !isAnswered && plain1.runs(attempt) + plain2.runs(attempt) > 0 ? 1 : 0;
            if (isAnswered && connection->received().find("Connection: close") == std::string::npos)
                continue;
            if (!isAccepting())
                return;
            connection = connect();
        }
    };
    std::vector<std::jthread> threads;
    for (int caller = 0; caller < callerCount; ++caller)
        threads.emplace_back([&, caller] {
            try {
                bookUntilRefused(caller);
            } catch (const boost::system::system_error&) {
                // The router stopped accepting just then.
            }
        });
    waitFor("bookings", [&] { return answers > callerCount; });
    fleet.router().sendSignal(SIGTERM);
    BOOST_TEST(fleet.router().waitForExit() == 0);
    threads.clear();
    BOOST_TEST(cut == 0);
    BOOST_TEST(answers > 3 * callerCount);
}

// Prevents the loss of a refusal: a caller that goes on sending a long body for some seconds before it reads.
BOOST_AUTO_TEST_CASE(aCallerThatSendsForSecondsReceivesItsRefusal)
{
    const auto caller = connect();
    caller->send("POST /post/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n");
    const std::string piece(16 * 1024, 'x');
    bool isOpen = true;
    for (int i = 0; i < 60; ++i) {
        isOpen = isOpen && caller->send(piece);
        std::this_thread::sleep_for(Milliseconds(50));
    }
    BOOST_TEST(isOpen);
    BOOST_TEST(parseAnswer(caller->readToEnd()).status == 413);
}

// Prevents a further SIGTERM or SIGINT from ending a router or an agent that is shutting down.
BOOST_AUTO_TEST_CASE(aRepeatedSignalDoesNotCutAShutdownShort)
{
    for (const int signal : { SIGTERM, SIGINT }) {
        sendSigterm();
        fleet.router().sendSignal(signal);
        BOOST_TEST(fleet.router().waitForExit() == 0);
        fleet.agent(0).sendSignal(SIGTERM);
        std::this_thread::sleep_for(networkDelay);
        fleet.agent(0).sendSignal(signal);
        BOOST_TEST(fleet.agent(0).waitForExit() == 0);
        fleet.startAgent(0);
        fleet.startRouter(0);
        fleet.agent(0).waitUntilReady();
        fleet.router().waitUntilReady();
    }
}

BOOST_AUTO_TEST_SUITE_END()
