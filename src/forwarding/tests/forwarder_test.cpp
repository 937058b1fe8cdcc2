#include "forwarding/tests/oneengine.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForwarderShutdown, OneEngine)

BOOST_AUTO_TEST_CASE(aRequestWaitsForItsModelsLoad)
{
    const auto exchange = sendWaitingRequest(Milliseconds(6000));
    BOOST_TEST(!exchange->isAnswered());
}

// Prevents a request from waiting for a load of 6 s on a router that shuts down in 4 s: when it was refused at the end,
// 3 s of the caller's time had passed, although the request could have waited at another router from the beginning.
BOOST_AUTO_TEST_CASE(aWaitBeyondTheShutdownIsRefusedAtOnce)
{
    const auto exchange = sendWaitingRequest(Milliseconds(6000));
    shutDownWithin(Milliseconds(4000));
    BOOST_REQUIRE(exchange->status() == 503u);
    BOOST_TEST(exchange->retryAfter().count() < 1000);
}

BOOST_AUTO_TEST_CASE(aLaterRequestThatCanNotBeServedInTimeIsRefused)
{
    shutDownWithin(Milliseconds(4000));
    const auto exchange = sendWaitingRequest(Milliseconds(6000));
    waitUntilAnswered(*exchange);
    BOOST_TEST(exchange->status() == 503u);
}

BOOST_AUTO_TEST_CASE(aWaitThatEndsBeforeTheShutdownContinues)
{
    const auto exchange = sendWaitingRequest(Milliseconds(1000));
    shutDownWithin(Milliseconds(4000));
    BOOST_TEST(!exchange->isAnswered());
}

// Prevents a stream from starting just before the shutdown deadline: a request was sent to the engine with 16 ms left
// and cut off after its first word, although another router could have delivered all of it.
BOOST_AUTO_TEST_CASE(aRequestWithoutAServerByTheStartDeadlineIsRefused)
{
    const auto exchange = sendWaitingRequest(Milliseconds(1000));
    shutDownWithin(Milliseconds(0), Milliseconds(8000));
    waitUntilAnswered(*exchange);
    BOOST_TEST(exchange->status() == 503u);
    BOOST_TEST(exchange->retryAfter().count() < 1000);
}

// Prevents requests from being dropped without an answer when a router's VM stalls until its shutdown deadline: the
// process resumed and ended at the same moment, before the timers that refuse waiting requests.
BOOST_AUTO_TEST_CASE(requestsThatStillWaitAtTheEndAreRefused)
{
    const auto exchange = sendWaitingRequest(Milliseconds(1000));
    shutDownWithin(Milliseconds(4000));
    onTraffic([this] {
        forwarder.answerNow();
        BOOST_TEST(forwarder.requests() == 0u);
    });
    BOOST_REQUIRE(exchange->status() == 503u);
    BOOST_TEST(exchange->retryAfter().count() < 1000);
}

// Prevents a request from being sent to a server after its caller has disconnected, while the event loop is behind.
BOOST_AUTO_TEST_CASE(aRequestWhoseCallerHasDisconnectedIsNotSent)
{
    const auto exchange = std::make_shared<RecordingExchange>();
    exchange->disconnect();
    onTraffic([&] {
        forwarder.setEngineState(stateWithModel());
        forwarder.handle(exchange);
        BOOST_TEST(forwarder.requests() == 0u);
    });
}

// Prevents a request from being sent to a server that has been removed while its connection was being opened.
BOOST_AUTO_TEST_CASE(aRequestIsNotSentToAServerRemovedWhileConnecting)
{
    SilentEngine silent;
    catalog::Upstream server = silent.upstream();
    const auto exchange = std::make_shared<RecordingExchange>();
    onTraffic([&] {
        forwarder.setUpstreams({ server });
        forwarder.setEngineState(silent.stateWithModel());
        forwarder.handle(exchange);
        BOOST_TEST(forwarder.requests() == 1u);
        server.state = catalog::UpstreamState::Draining;
        forwarder.setUpstreams({ server });
    });
    auto accepted = silent.accept();
    std::array<char, 64> bytes {};
    boost::system::error_code error;
    BOOST_TEST(accepted.read_some(boost::asio::buffer(bytes), error) == 0u);
    waitUntilAnswered(*exchange);
    BOOST_TEST(exchange->status() == 503u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
