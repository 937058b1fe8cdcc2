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
    http::Request forwarded(const http::Request& request, const ForwardingOptions&) const override { return request; }
    AnswerClass classify(const http::ResponseHead&, const RequestFacts&, const catalog::InstanceId&) const override
    {
        return AnswerClass::Served;
    }
    http::ResponseHead refusal(unsigned status, std::optional<Milliseconds> retryAfter) const override
    {
        http::ResponseHead head { status, {}, {} };
        if (retryAfter)
            head.headers.add("Retry-After", std::to_string(retryAfter->count()));
        return head;
    }
};

/// Records the answer.
class RecordingExchange final : public http::IExchange {
public:
    RecordingExchange()
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
    bool hasCallerDisconnected() const override { return hasDisconnected_; }
    void setDisconnectHandler(std::function<void()>) override { }
    std::size_t unsentBytes() const override { return 0; }
    void setDrainedHandler(std::function<void()>) override { }

    /// The caller disconnects, but the event loop hasn't processed it yet.
    void disconnect() { hasDisconnected_ = true; }
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
    bool hasDisconnected_ = false;
};

/// Knows nothing of any stream.
class NoOrigins final : public streams::IStreamOrigins {
public:
    void record(const streams::DispatchRecord&) override { }
    void retract(const streams::DispatchRecord&, std::function<void(bool)> handler) override { handler(true); }
    void find(const streams::AttemptKey&, std::function<void(const streams::OriginAnswer&)> handler) override
    {
        handler({});
    }
};

/// A forwarder with one engine that doesn't have the model loaded; its agent reports when it will.
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

    /// Runs the action on the traffic thread and waits for it.
    void onTraffic(const std::function<void()>& action)
    {
        std::promise<void> done;
        traffic.post([&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Sends a request while the engine's agent expects the model to be loaded within this time.
    std::shared_ptr<RecordingExchange> sendWaitingRequest(Milliseconds loadedWithin)
    {
        auto exchange = std::make_shared<RecordingExchange>();
        onTraffic([&] {
            catalog::EngineState state;
            state.engine = engine().endpoint;
            state.expected.push_back({ ModelName("rare"), loadedWithin });
            forwarder.setEngineState(state);
            forwarder.handle(exchange);
        });
        return exchange;
    }

    void waitUntilAnswered(const RecordingExchange& exchange)
    {
        bool isAnswered = false;
        while (!isAnswered)
            onTraffic([&] { isAnswered = exchange.isAnswered(); });
    }

    void shutDownWithin(Milliseconds startWithin, Milliseconds answerWithin)
    {
        onTraffic([&] {
            framework::ShutdownDeadlines deadlines;
            deadlines.startBy = Deadline::after(clock.now(), startWithin);
            deadlines.answerBy = Deadline::after(clock.now(), answerWithin);
            forwarder.beginShutdown(deadlines);
        });
    }
    void shutDownWithin(Milliseconds startWithin) { shutDownWithin(startWithin, 2 * startWithin); }

    framework::SystemClock clock;
    framework::EventThread traffic;
    OneModelDialect dialect;
    NoOrigins origins;
    Forwarder forwarder { { traffic, clock, dialect, std::make_shared<framework::Metrics>(), [](const auto&) {},
                              [](const auto&) {}, origins },
        {} };
};

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
        catalog::EngineState state;
        state.engine = engine().endpoint;
        state.held.push_back({ ModelName("rare"), 1, {}, 0, 0 });
        forwarder.setEngineState(state);
        forwarder.handle(exchange);
        BOOST_TEST(forwarder.requests() == 0u);
    });
}

// Prevents a request from being sent to a server that has been removed while its connection was being opened.
BOOST_AUTO_TEST_CASE(aRequestIsNotSentToAServerRemovedWhileConnecting)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    catalog::Upstream server = engine();
    server.endpoint = Endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    const auto exchange = std::make_shared<RecordingExchange>();
    onTraffic([&] {
        catalog::EngineState state;
        state.engine = server.endpoint;
        state.held.push_back({ ModelName("rare"), 1, {}, 0, 0 });
        forwarder.setUpstreams({ server });
        forwarder.setEngineState(state);
        forwarder.handle(exchange);
        BOOST_TEST(forwarder.requests() == 1u);
        server.state = catalog::UpstreamState::Draining;
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
