#include "forwarding/tests/oneengine.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;

/// An engine that has the model and names a limit.
struct LimitedEngine : OneEngine {
    LimitedEngine()
    {
        const catalog::Upstream server = silent.upstream();
        onTraffic([&] {
            forwarder.setUpstreams({ server });
            forwarder.didConfirmUpstreams(clock.now());
            forwarder.setEngineState(silent.stateWithModel());
            const ratelimits::ServerRunKey key = ratelimits::serverRunKey(server.run());
            forwarder.addLimits({ { key, ratelimits::RequestRate(1), clock.now(), clock.now() } });
        });
    }

    std::shared_ptr<RecordingExchange> send()
    {
        auto exchange = std::make_shared<RecordingExchange>();
        onTraffic([&] { forwarder.handle(exchange); });
        return exchange;
    }

    SilentEngine silent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerLimits, LimitedEngine)

BOOST_AUTO_TEST_CASE(aRequestToALimitedServerIsSentWithAPermit)
{
    const auto exchange = send();
    BOOST_TEST(permits.asked() == 1u);
    BOOST_TEST(permits.withdrawn() == 0u);
    BOOST_TEST(!exchange->isAnswered());
    onTraffic([this] { forwarder.answerNow(); });
}

// Prevents a caller who can't be served in time from waiting for its deadline, and an untrue time to come back.
BOOST_AUTO_TEST_CASE(aRequestIsRefusedWhenNoPermitCanComeInTime)
{
    constexpr Milliseconds untilPermit { 40000 };
    permits.deny(untilPermit);
    const auto exchange = send();
    waitUntilAnswered(*exchange);
    const auto passed
        = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - exchange->receivedAt());
    BOOST_TEST(exchange->status() == 503u);
    BOOST_TEST(exchange->retryAfter().count() >= (untilPermit - passed).count() - 1);
    BOOST_TEST(exchange->retryAfter().count() <= 50000);
}

// Prevents a request that was denied its turn from asking for it again and again until its deadline.
BOOST_AUTO_TEST_CASE(aRequestAsksOnceForItsTurn)
{
    permits.deny(Milliseconds(2000));
    const auto exchange = send();
    waitUntilAnswered(*exchange);
    BOOST_TEST(permits.asked() <= 2u);
    BOOST_TEST(exchange->status() == 503u);
    BOOST_TEST(exchange->retryAfter().count() <= 2500);
}

// Prevents the loss of the permit of a caller that has left.
BOOST_AUTO_TEST_CASE(aPermitThatIsNotUsedIsGivenBack)
{
    const auto exchange = std::make_shared<RecordingExchange>();
    exchange->disconnect();
    onTraffic([&] { forwarder.handle(exchange); });
    BOOST_TEST(permits.asked() == 1u);
    BOOST_TEST(permits.withdrawn() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
