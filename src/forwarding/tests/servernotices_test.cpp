#include "forwarding/tests/oneengine.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using boost::asio::ip::tcp;
using framework::Milliseconds;

/// An engine that has the model, and whose answers the test writes.
struct ScriptedEngine : OneEngine {
    ScriptedEngine() { listEngine(silent.upstream()); }

    void listEngine(const catalog::Upstream& server)
    {
        onTraffic([&] {
            forwarder.setUpstreams({ server });
            forwarder.didConfirmUpstreams(clock.now());
            catalog::EngineState state = silent.stateWithModel();
            state.started = server.started;
            forwarder.setEngineState(state);
        });
    }

    std::shared_ptr<RecordingExchange> send()
    {
        auto exchange = std::make_shared<RecordingExchange>();
        onTraffic([&] { forwarder.handle(exchange); });
        return exchange;
    }

    /// Answers the next request that reaches the engine, over a new connection, and waits for the caller's answer.
    void answerNext(RecordingExchange& exchange, const std::string& head)
    {
        tcp::socket socket = silent.accept();
        std::string received;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n");
        boost::asio::write(
            socket, boost::asio::buffer("HTTP/1.1 " + head + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
        waitUntilAnswered(exchange);
    }

    SilentEngine silent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerNoticesOfAnswers, ScriptedEngine)

// Prevents a request from being repeated at the one engine that has just asked for a rest, and an untrue time to come
// back.
BOOST_AUTO_TEST_CASE(aRequestThatWasTurnedAwayIsNotRepeatedInTheRest)
{
    const auto exchange = send();
    answerNext(*exchange, "503 Full\r\nrest: 3");
    BOOST_TEST(exchange->status() == 503u);
    BOOST_TEST(exchange->retryAfter().count() >= 2900);
    BOOST_TEST(exchange->retryAfter().count() <= 3750);
    const auto next = send();
    waitUntilAnswered(*next);
    BOOST_TEST(next->status() == 503u);
    BOOST_TEST(next->retryAfter().count() >= 2500);
}

// Prevents a request from being written to an engine that asked for a rest while the connection was opened.
BOOST_AUTO_TEST_CASE(aRequestIsNotSentOverAConnectionThatOpensInTheRest)
{
    const auto first = send();
    auto second = std::make_shared<RecordingExchange>();
    tcp::socket socket = silent.accept();
    std::string received;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n");
    std::promise<void> isBlocked;
    std::promise<void> mayGoOn;
    traffic.post([&] {
        isBlocked.set_value();
        mayGoOn.get_future().wait();
    });
    isBlocked.get_future().wait();
    boost::asio::write(
        socket, boost::asio::buffer(std::string("HTTP/1.1 503 Full\r\nrest: 3\r\nContent-Length: 0\r\n\r\n")));
    // Chosen before the answer is processed.
    traffic.post([&] { forwarder.handle(second); });
    mayGoOn.set_value();
    waitUntilAnswered(*first);
    waitUntilAnswered(*second);
    BOOST_TEST(first->status() == 503u);
    BOOST_TEST(second->status() == 503u);
}

// Prevents an engine that leaves from being used again by an entry that says ready.
BOOST_AUTO_TEST_CASE(anEngineThatLeavesIsNotUsedAgain)
{
    const auto exchange = send();
    answerNext(*exchange, "503 Ending\r\nleaving: 1");
    listEngine(silent.upstream());
    const auto next = send();
    waitUntilAnswered(*next);
    BOOST_TEST(next->status() == 503u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
