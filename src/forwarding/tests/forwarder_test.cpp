#include "forwarding/forwarder.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

namespace lagoon::forwarding {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::Milliseconds;
using framework::ModelName;
using framework::ServiceName;

/// Every request is for one model, and its caller waits for 15 seconds.
class OneModelDialect final : public IRequestDialect {
public:
    framework::Result<RequestFacts> read(const http::Request&) const override
    {
        RequestFacts facts;
        facts.attempt = "a1";
        facts.timeLeft = Milliseconds(15000);
        facts.model = ModelName("rare");
        facts.promptTokens = catalog::Tokens(100);
        return facts;
    }
    http::Request forwarded(const http::Request& request, const ForwardingTerms&) const override { return request; }
    AnswerMeaning meaning(const http::ResponseHead&, const RequestFacts&, const catalog::InstanceId&) const override
    {
        return AnswerMeaning::Served;
    }
    http::ResponseHead refusal(unsigned status, std::optional<Milliseconds> retryAfter) const override
    {
        http::ResponseHead head { status, {}, {} };
        if (retryAfter)
            head.headers.add("Retry-After", std::to_string(retryAfter->count()));
        return head;
    }
};

/// Keeps the answer.
class KeptExchange final : public http::IExchange {
public:
    KeptExchange()
    {
        request_.target = "/model/1";
        request_.headers.add("Host", "callers");
    }
    const http::Request& request() const override { return request_; }
    framework::SteadyTime receivedAt() const override { return receivedAt_; }
    void answer(http::ResponseHead head, std::string) override { head_ = std::move(head); }
    void beginAnswer(http::ResponseHead) override { }
    void sendPiece(std::string_view) override { }
    void endAnswer() override { }
    void breakOff() override { }
    bool hasCallerDisconnected() const override { return hasLeft_; }
    void setDisconnectHandler(std::function<void()>) override { }
    std::size_t unsentBytes() const override { return 0; }
    void setDrainedHandler(std::function<void()>) override { }

    /// Before the event loop has come to it.
    void leave() { hasLeft_ = true; }
    bool isAnswered() const { return head_.has_value(); }
    unsigned status() const { return head_ ? head_->status : 0; }
    Milliseconds retryAfter() const
    {
        return Milliseconds(std::stoi(std::string(*head_->headers.find("Retry-After"))));
    }

private:
    http::Request request_;
    framework::SteadyTime receivedAt_ = std::chrono::steady_clock::now();
    std::optional<http::ResponseHead> head_;
    bool hasLeft_ = false;
};

/// One engine, which doesn't hold the model; its agent says when it will.
struct OneEngine {
    OneEngine()
    {
        onTraffic([this] {
            forwarder.setConfiguration(configuration());
            forwarder.setUpstreams({ engine() });
        });
    }
    ~OneEngine() { traffic.stop(); }

    static catalog::ConfigurationPointer configuration()
    {
        catalog::Configuration made;
        made.version = catalog::ConfigurationVersion(1);
        catalog::Route route;
        route.host = "callers";
        route.prefix = "/model/";
        route.kind = catalog::RouteKind::Streaming;
        route.timeout = Milliseconds(15000);
        route.targetLatency = Milliseconds(2500);
        route.targets.push_back({ ServiceName("engines"), 1 });
        made.routes.push_back(route);
        catalog::Service service { ServiceName("engines"), 10, catalog::EngineProfile() };
        service.engine->weights = catalog::MegaBytes(200000);
        service.engine->models.add({ ModelName("rare"), catalog::MegaBytes(70000), Milliseconds(6000),
            Milliseconds(800), Milliseconds(600), catalog::MegaBytes(60), 0 });
        made.services.push_back(service);
        return std::make_shared<const catalog::Configuration>(made);
    }

    static catalog::Upstream engine()
    {
        catalog::Upstream upstream;
        upstream.instance = catalog::InstanceId("e-1");
        upstream.service = ServiceName("engines");
        upstream.endpoint = Endpoint("127.0.0.1:9");
        return upstream;
    }

    /// Runs on the traffic thread and waits for it.
    void onTraffic(const std::function<void()>& action)
    {
        std::promise<void> done;
        traffic.post([&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// A request that comes while the engine's agent expects the model within the time.
    std::shared_ptr<KeptExchange> requestThatWaits(Milliseconds loadedWithin)
    {
        auto exchange = std::make_shared<KeptExchange>();
        onTraffic([&] {
            catalog::EngineState state;
            state.engine = engine().endpoint;
            state.expected.push_back({ ModelName("rare"), loadedWithin });
            forwarder.setEngineState(state);
            forwarder.handle(exchange);
        });
        return exchange;
    }

    void waitUntilAnswered(const KeptExchange& exchange)
    {
        bool isAnswered = false;
        while (!isAnswered)
            onTraffic([&] { isAnswered = exchange.isAnswered(); });
    }

    void endWithin(Milliseconds startWithin, Milliseconds answerWithin)
    {
        onTraffic([&] {
            framework::ServiceEnd end;
            end.startBy = Deadline::after(clock.now(), startWithin);
            end.answerBy = Deadline::after(clock.now(), answerWithin);
            forwarder.endService(end);
        });
    }
    void endWithin(Milliseconds startWithin) { endWithin(startWithin, 2 * startWithin); }

    framework::SystemClock clock;
    framework::EventThread traffic;
    OneModelDialect dialect;
    Forwarder forwarder { { traffic, clock, dialect, std::make_shared<framework::Metrics>(), [](const auto&) {} }, {} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheEndOfAForwarder, OneEngine)

BOOST_AUTO_TEST_CASE(aRequestWaitsForItsModelsLoad)
{
    const auto exchange = requestThatWaits(Milliseconds(6000));
    BOOST_TEST(!exchange->isAnswered());
}

// A router with four seconds left held a review for a load of six, though it knew both: three seconds of the caller's
// time were gone when it refused, and another router could have had the review waiting from the beginning.
BOOST_AUTO_TEST_CASE(aWaitThatWouldEndAfterItIsRefusedAtOnce)
{
    const auto exchange = requestThatWaits(Milliseconds(6000));
    endWithin(Milliseconds(4000));
    BOOST_REQUIRE(exchange->status() == 503u);
    BOOST_TEST(exchange->retryAfter().count() < 1000);
}

BOOST_AUTO_TEST_CASE(aRequestThatComesLaterAndCouldNotBeServedIsRefusedToo)
{
    endWithin(Milliseconds(4000));
    const auto exchange = requestThatWaits(Milliseconds(6000));
    waitUntilAnswered(*exchange);
    BOOST_TEST(exchange->status() == 503u);
}

BOOST_AUTO_TEST_CASE(aWaitThatEndsBeforeItGoesOn)
{
    const auto exchange = requestThatWaits(Milliseconds(1000));
    endWithin(Milliseconds(4000));
    BOOST_TEST(!exchange->isAnswered());
}

// A review waited for its model until a router was nearly at its end, was sent to the engine when sixteen milliseconds
// were left, and was cut behind its first word. Another router would have brought all of it.
BOOST_AUTO_TEST_CASE(whatNoServerHasHalfWayIsRefused)
{
    const auto exchange = requestThatWaits(Milliseconds(1000));
    endWithin(Milliseconds(0), Milliseconds(8000));
    waitUntilAnswered(*exchange);
    BOOST_TEST(exchange->status() == 503u);
    BOOST_TEST(exchange->retryAfter().count() < 1000);
}

// A router's VM stood still until the router's time was over. Its process went on and ended in the same moment, before
// the timers that would have refused the requests that waited.
BOOST_AUTO_TEST_CASE(whoeverStillWaitsAtTheVeryEndIsRefused)
{
    const auto exchange = requestThatWaits(Milliseconds(1000));
    endWithin(Milliseconds(4000));
    onTraffic([this] {
        forwarder.answerNow();
        BOOST_TEST(forwarder.requests() == 0u);
    });
    BOOST_REQUIRE(exchange->status() == 503u);
    BOOST_TEST(exchange->retryAfter().count() < 1000);
}

// Guards against sending a request to a server after its caller has left, while the event loop is behind.
BOOST_AUTO_TEST_CASE(aRequestWhoseCallerLeftUnnoticedIsNotSent)
{
    const auto exchange = std::make_shared<KeptExchange>();
    exchange->leave();
    onTraffic([&] {
        catalog::EngineState state;
        state.engine = engine().endpoint;
        state.held.push_back({ ModelName("rare"), 1, {}, 0, 0 });
        forwarder.setEngineState(state);
        forwarder.handle(exchange);
        BOOST_TEST(forwarder.requests() == 0u);
    });
}

// Guards against a request that reaches a server after it has left, since its connection took long to stand.
BOOST_AUTO_TEST_CASE(aRequestWhoseServerLeftWhileItConnectedIsNotSentThere)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    catalog::Upstream server = engine();
    server.endpoint = Endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    const auto exchange = std::make_shared<KeptExchange>();
    onTraffic([&] {
        catalog::EngineState state;
        state.engine = server.endpoint;
        state.held.push_back({ ModelName("rare"), 1, {}, 0, 0 });
        forwarder.setUpstreams({ server });
        forwarder.setEngineState(state);
        forwarder.handle(exchange);
        BOOST_TEST(forwarder.requests() == 1u);
        server.state = catalog::UpstreamState::Leaving;
        forwarder.setUpstreams({ server });
    });
    tcp::socket accepted = acceptor.accept();
    std::array<char, 64> bytes {};
    boost::system::error_code error;
    BOOST_TEST(accepted.read_some(boost::asio::buffer(bytes), error) == 0u);
    waitUntilAnswered(*exchange);
    BOOST_TEST(exchange->status() == 503u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
