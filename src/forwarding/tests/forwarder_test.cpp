#include "forwarding/forwarder.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <list>
#include <stdexcept>

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
    /// The callers of later requests take up the stream that this attempt began; empty if they don't name it.
    void takeUpStreams(const std::string& attempt)
    {
        resumedAttempt_ = attempt;
        lastEvent_ = 5;
    }
    void beginStreams()
    {
        resumedAttempt_.clear();
        lastEvent_.reset();
    }
    /// The time that the callers of later requests state.
    void setTimeLeft(Milliseconds timeLeft) { timeLeft_ = timeLeft; }

    framework::Result<RequestFacts> read(const http::Request&) const override
    {
        RequestFacts facts;
        facts.resumedAttempt = resumedAttempt_;
        facts.lastEvent = lastEvent_;
        facts.attempt = "a1";
        facts.timeLeft = timeLeft_;
        facts.model = ModelName("rare");
        facts.promptTokens = catalog::Tokens(100);
        return facts;
    }
    std::optional<catalog::KeyDigest> key(const http::Request&) const override { return std::nullopt; }
    http::Request forwarded(const http::Request& request, const ForwardingOptions&) const override { return request; }
    AnswerClass classify(const http::ResponseHead& head, const RequestFacts&, const catalog::InstanceId&) const override
    {
        return head.status == 503 ? AnswerClass::NotRun : AnswerClass::Served;
    }
    ratelimits::LimitHeader limit(const http::ResponseHead& head) const override
    {
        ratelimits::LimitHeader limit;
        if (const auto value = head.headers.find("limit"))
            ratelimits::addField(limit, *value);
        return limit;
    }
    http::ResponseHead refusal(unsigned status, std::optional<Milliseconds> retryAfter) const override
    {
        http::ResponseHead head { status, {}, {} };
        if (retryAfter)
            head.headers.add("Retry-After", std::to_string(retryAfter->count()));
        return head;
    }

private:
    std::string resumedAttempt_;
    std::optional<std::uint64_t> lastEvent_;
    Milliseconds timeLeft_ { 15000 };
};

/// A clock that a test may set back by some time.
class OffsetClock final : public framework::IClock {
public:
    void setBackBy(Milliseconds offset) { offset_ = offset; }
    framework::SteadyTime now() const override { return std::chrono::steady_clock::now() - offset_; }

private:
    Milliseconds offset_ { 0 };
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

/// Decides on permits at once.
class PromptPermits final : public ratelimits::IServerPermits {
public:
    /// Denies all permits from now on, until this time has passed.
    void deny(Milliseconds retryAfter) { denial_ = retryAfter; }
    std::size_t asked() const { return asked_; }
    std::size_t withdrawn() const { return withdrawn_; }
    const std::vector<ratelimits::LimitStatement>& shared() const { return shared_; }

    void share(const ratelimits::LimitStatement& statement, const Endpoint&) override { shared_.push_back(statement); }
    void ask(const ratelimits::PermitOrder&, std::function<void(const ratelimits::PermitReply&)> handler) override
    {
        // Bounds the test if requests ask without end.
        constexpr std::size_t maxAsked = 50;
        if (++asked_ <= maxAsked)
            handler({ !denial_.has_value(), denial_.value_or(Milliseconds(0)), "test" });
    }
    void withdraw(const ratelimits::PermitNumber&) override { ++withdrawn_; }

private:
    std::optional<Milliseconds> denial_;
    std::size_t asked_ = 0;
    std::size_t withdrawn_ = 0;
    std::vector<ratelimits::LimitStatement> shared_;
};

/// Grants every draw.
class UnlimitedQuotas final : public quotas::ICustomerQuotas {
public:
    explicit UnlimitedQuotas(framework::EventThread& traffic)
        : traffic_(traffic)
    {
    }

    quotas::DrawNumber draw(const quotas::QuotaDraw&, std::function<void(const quotas::DrawReply&)> handler) override
    {
        traffic_.post([handler = std::move(handler)] { handler({ quotas::DrawOutcome::Granted, {}, "test" }); });
        return quotas::DrawNumber(++draws_);
    }
    void withdraw(const quotas::DrawNumber&) override { }
    void giveBack(const quotas::QuotaDraw&) override { }
    void charge(const quotas::QuotaDraw&) override { }

private:
    framework::EventThread& traffic_;
    std::uint64_t draws_ = 0;
};

/// Knows the same of all streams; nothing at first.
class SameOrigins final : public streams::IStreamOrigins {
public:
    void set(const std::string& service, const std::string& version)
    {
        answer_.origin = streams::StreamOrigin { ServiceName(service), catalog::SoftwareVersion(version) };
    }

    /// What was stated, in order: the versions recorded, and "retracted".
    const std::vector<std::string>& statements() const { return statements_; }
    /// Retractions aren't confirmed from now on.
    void refuseRetractions() { confirmsRetractions_ = false; }

    void record(const streams::DispatchRecord& record) override
    {
        statements_.push_back(record.origin ? record.origin->version.name() : "unknown");
        lastRecord_ = record;
    }
    const streams::DispatchRecord& lastRecord() const { return lastRecord_; }
    void retract(const streams::DispatchRecord&, std::function<void(bool)> handler) override
    {
        statements_.emplace_back("retracted");
        handler(confirmsRetractions_);
    }
    void find(const streams::AttemptKey&, std::function<void(const streams::OriginAnswer&)> handler) override
    {
        handler(answer_);
    }

private:
    streams::OriginAnswer answer_;
    std::vector<std::string> statements_;
    streams::DispatchRecord lastRecord_;
    bool confirmsRetractions_ = true;
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
        route.isResumable = true;
        route.maxServers = 2;
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
        upstream.version = catalog::SoftwareVersion("v1");
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

    OffsetClock clock;
    framework::EventThread traffic;
    OneModelDialect dialect;
    SameOrigins origins;
    PromptPermits permits;
    UnlimitedQuotas quotas { traffic };
    LoadPlan lastPlan;
    Forwarder forwarder { { traffic, clock, dialect, std::make_shared<framework::Metrics>(),
                              [this](const LoadPlan& plan) { lastPlan = plan; }, [](const auto&) {}, origins, permits,
                              quotas, [](const fairness::UseReport&) {} },
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

namespace {

/// Callers take up streams at a forwarder with one engine of version v1, whose list is current.
struct TakenUpStreams : OneEngine {
    TakenUpStreams()
    {
        onTraffic([this] {
            dialect.takeUpStreams("a0");
            forwarder.didConfirmUpstreams(clock.now());
        });
    }

    std::shared_ptr<RecordingExchange> takeUp(const catalog::EngineState& state)
    {
        auto exchange = std::make_shared<RecordingExchange>();
        onTraffic([&] {
            forwarder.setEngineState(state);
            forwarder.handle(exchange);
        });
        return exchange;
    }

    /// A caller takes up an unknown stream after the list has shown one version alone for this time.
    std::shared_ptr<RecordingExchange> takeUpAfter(Milliseconds alone)
    {
        catalog::Upstream server = engine();
        server.endpoint = Endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        catalog::EngineState state = stateWithModel();
        state.engine = server.endpoint;
        onTraffic([&] {
            clock.setBackBy(alone);
            forwarder.setUpstreams({});
            forwarder.setUpstreams({ server });
            for (Milliseconds before = alone; before.count() > 0; before -= Milliseconds(1000)) {
                clock.setBackBy(before);
                forwarder.didConfirmUpstreams(clock.now());
            }
            clock.setBackBy(Milliseconds(0));
            forwarder.didConfirmUpstreams(clock.now());
        });
        return takeUp(state);
    }

    static catalog::EngineState stateWithModel()
    {
        catalog::EngineState state;
        state.engine = engine().endpoint;
        state.held.push_back({ ModelName("rare"), 1, {}, 0, 0 });
        return state;
    }

    static bool isRefusedAtOnce(const RecordingExchange& exchange)
    {
        return exchange.status() == 503 && exchange.retryAfter().count() < 1000;
    }

    boost::asio::io_context context;
    /// Accepts connections and answers nothing.
    boost::asio::ip::tcp::acceptor acceptor { context,
        boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamTakeUps, TakenUpStreams)

// Prevents a guess where nobody knows which version began a stream.
BOOST_AUTO_TEST_CASE(anUnknownStreamIsRefusedAtOnce) { BOOST_TEST(isRefusedAtOnce(*takeUp(stateWithModel()))); }

// Prevents a guess where this router has seen one version alone for longer than any caller that it knows of waits: the
// stream's caller may have waited for longer, and other routers may have known other servers.
BOOST_AUTO_TEST_CASE(anUnknownStreamIsRefusedHoweverLongThereHasBeenOneVersionAlone)
{
    BOOST_TEST(isRefusedAtOnce(*takeUpAfter(Milliseconds(17000))));
    dialect.setTimeLeft(Milliseconds(2000));
    BOOST_TEST(isRefusedAtOnce(*takeUpAfter(Milliseconds(17000))));
}

// Prevents a guess for a caller that doesn't name the attempt that began its stream.
BOOST_AUTO_TEST_CASE(aStreamWithoutItsAttemptIsRefusedAtOnce)
{
    dialect.takeUpStreams("");
    BOOST_TEST(isRefusedAtOnce(*takeUpAfter(Milliseconds(17000))));
}

// Prevents a guess where the stream may have begun before the list showed one version alone, although its caller states
// anew for each try all the time that it had at first.
BOOST_AUTO_TEST_CASE(theTimeThatACallerStatesDoesNotMakeItsStreamYounger)
{
    BOOST_TEST(isRefusedAtOnce(*takeUpAfter(Milliseconds(14000))));
}

// Prevents a guess for a caller that states a time beyond all bounds.
BOOST_AUTO_TEST_CASE(aCallerThatStatesAnEndlessTimeIsRefused)
{
    dialect.setTimeLeft(Milliseconds::max());
    BOOST_TEST(isRefusedAtOnce(*takeUpAfter(Milliseconds(17000))));
}

// Prevents a stream from waiting for a version that no server has any more.
BOOST_AUTO_TEST_CASE(aStreamOfAVersionWithoutServersIsRefusedAtOnce)
{
    origins.set("engines", "v2");
    BOOST_TEST(isRefusedAtOnce(*takeUp(stateWithModel())));
}

// Prevents two services' versions of the same name from being taken for one.
BOOST_AUTO_TEST_CASE(aStreamOfAnotherServiceIsRefusedAtOnce)
{
    origins.set("others", "v1");
    BOOST_TEST(isRefusedAtOnce(*takeUp(stateWithModel())));
}

// Prevents a refusal where the version's servers have no place for the moment.
BOOST_AUTO_TEST_CASE(aStreamWaitsWhileTheServersOfItsVersionAreFull)
{
    constexpr std::size_t connections = 4;
    catalog::Upstream server = engine();
    server.endpoint = Endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    catalog::EngineState state = stateWithModel();
    state.engine = server.endpoint;
    origins.set("engines", "v1");
    onTraffic([&] { forwarder.setUpstreams({ server }); });
    std::vector<std::shared_ptr<RecordingExchange>> taken;
    for (std::size_t count = 0; count <= connections; ++count)
        taken.push_back(takeUp(state));
    onTraffic([&] { BOOST_TEST(forwarder.requests() == connections + 1); });
    for (const auto& exchange : taken)
        BOOST_TEST(!exchange->isAnswered());
    onTraffic([this] { forwarder.answerNow(); });
}

// Prevents a refusal where a server of the version can load the model in time.
BOOST_AUTO_TEST_CASE(theModelIsLoadedAtAServerOfTheVersion)
{
    origins.set("engines", "v1");
    catalog::EngineState state;
    state.engine = engine().endpoint;
    state.cachedWeights.memory.push_back(ModelName("rare"));
    const auto exchange = takeUp(state);
    BOOST_TEST(!exchange->isAnswered());
    bool isAsked = false;
    while (!isAsked && !exchange->isAnswered())
        onTraffic([&] {
            for (const catalog::TargetDemand& demand : lastPlan.demand[engine().endpoint])
                isAsked = isAsked || (demand.waiting == 1 && demand.target.model == ModelName("rare"));
        });
    BOOST_TEST(isAsked);
    onTraffic([this] { forwarder.answerNow(); });
}

// Prevents a stream from waiting for a load that takes longer than its caller waits, or that all services share.
BOOST_AUTO_TEST_CASE(aStreamIsNotHeldBackForALoadFromTheStore)
{
    origins.set("engines", "v1");
    catalog::EngineState state;
    state.engine = engine().endpoint;
    BOOST_TEST(isRefusedAtOnce(*takeUp(state)));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Two engines of two versions with the model. The engine that gets the first request refuses it as not run.
struct MovingStreams : OneEngine {
    using Socket = boost::asio::ip::tcp::socket;

    MovingStreams()
    {
        std::vector<catalog::Upstream> servers { engine(), engine() };
        for (std::size_t index = 0; index < servers.size(); ++index) {
            auto& acceptor = acceptors.emplace_back(
                context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
            acceptor.non_blocking(true);
            servers[index].instance = catalog::InstanceId("e-" + std::to_string(index));
            servers[index].version = catalog::SoftwareVersion(versionOf(index));
            servers[index].endpoint = Endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
            servers[index].models.push_back({ ModelName("rare"), 1, {}, 0, 0 });
        }
        onTraffic([&] {
            forwarder.setUpstreams(servers);
            forwarder.didConfirmUpstreams(clock.now());
        });
    }
    ~MovingStreams()
    {
        onTraffic([this] { forwarder.answerNow(); });
    }

    static std::string versionOf(std::size_t index) { return "v" + std::to_string(index); }

    /// Waits for a request at any engine, on one of the connections that have been opened or on a new one, and returns
    /// the engine's index.
    std::size_t receiveRequest()
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (std::chrono::steady_clock::now() < end) {
            for (std::size_t index = 0; index < acceptors.size(); ++index) {
                boost::system::error_code error;
                Socket accepted = acceptors[index].accept(error);
                if (!error)
                    connections.emplace_back(index, std::move(accepted));
            }
            for (auto& [index, connection] : connections) {
                boost::system::error_code error;
                connection.non_blocking(true);
                std::array<char, 1024> bytes {};
                if (connection.read_some(boost::asio::buffer(bytes), error) == 0)
                    continue;
                asked = &connection;
                return index;
            }
        }
        throw std::runtime_error("no request within 10 s");
    }

    void refuseAsNotRun()
    {
        asked->non_blocking(false);
        boost::asio::write(
            *asked, boost::asio::buffer(std::string_view("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")));
    }

    /// Sends a request that is refused once, and returns the engines that it reached.
    std::pair<std::size_t, std::size_t> moveOnce()
    {
        onTraffic([this] { forwarder.handle(exchange); });
        const std::size_t former = receiveRequest();
        refuseAsNotRun();
        return { former, receiveRequest() };
    }

    std::vector<std::string> statements()
    {
        std::vector<std::string> all;
        onTraffic([&] { all = origins.statements(); });
        return all;
    }

    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::acceptor> acceptors;
    std::list<std::pair<std::size_t, Socket>> connections;
    Socket* asked = nullptr;
    std::shared_ptr<RecordingExchange> exchange = std::make_shared<RecordingExchange>();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamsThatMove, MovingStreams)

// Prevents a record of the former version from outliving the later one, if that is lost.
BOOST_AUTO_TEST_CASE(aRecordIsRetractedBeforeTheStreamMovesToAnotherVersion)
{
    const auto [former, later] = moveOnce();
    BOOST_TEST(former != later);
    const std::vector<std::string> expected { versionOf(former), "retracted", versionOf(later) };
    BOOST_TEST(statements() == expected, boost::test_tools::per_element());
}

// Prevents a stream that stays at its version from being unknown to the other routers.
BOOST_AUTO_TEST_CASE(aStreamWhoseRecordIsNotRetractedStaysAtItsVersionAndIsRecordedAgain)
{
    origins.refuseRetractions();
    const auto [former, later] = moveOnce();
    BOOST_TEST(former == later);
    const std::vector<std::string> expected { versionOf(former), "retracted", versionOf(former) };
    BOOST_TEST(statements() == expected, boost::test_tools::per_element());
}

// Prevents records from being kept for as long as a caller states.
BOOST_AUTO_TEST_CASE(aRecordIsKeptForABoundedTime)
{
    dialect.setTimeLeft(std::chrono::hours(24));
    onTraffic([this] { forwarder.handle(exchange); });
    receiveRequest();
    onTraffic([this] {
        const Milliseconds kept = origins.lastRecord().keptUntil.remaining(clock.now());
        BOOST_TEST(kept.count() > 0);
        BOOST_TEST(kept.count() <= 601 * 1000);
    });
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// An engine that has the model and names a limit.
struct LimitedEngine : TakenUpStreams {
    LimitedEngine()
    {
        catalog::Upstream server = engine();
        server.endpoint = Endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        catalog::EngineState state = stateWithModel();
        state.engine = server.endpoint;
        onTraffic([&] {
            dialect.beginStreams();
            forwarder.setUpstreams({ server });
            forwarder.setEngineState(state);
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
