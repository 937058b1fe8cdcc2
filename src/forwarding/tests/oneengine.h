#pragma once

#include "forwarding/forwarder.h"
#include "forwarding/tests/testbudget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <future>
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <vector>

/// A forwarder with one engine, and test doubles for what surrounds them.
namespace lagoon::forwarding {

/// Every request is for one model, and its caller waits for 15 seconds.
class OneModelDialect final : public IRequestDialect {
public:
    /// The callers of later requests take up the stream that this attempt began; empty if they don't name it.
    void takeUpStreams(const std::string& attempt)
    {
        resumedAttempt_ = attempt;
        lastEvent_ = 5;
    }
    /// The time that the callers of later requests state.
    void setTimeLeft(framework::Milliseconds timeLeft) { timeLeft_ = timeLeft; }

    framework::Result<RequestFacts> read(const http::Request&) const override
    {
        RequestFacts facts;
        facts.resumedAttempt = resumedAttempt_;
        facts.lastEvent = lastEvent_;
        facts.attempt = "a1";
        facts.timeLeft = timeLeft_;
        facts.model = framework::ModelName("rare");
        facts.promptTokens = catalog::Tokens(100);
        return facts;
    }
    std::optional<catalog::KeyDigest> key(const http::Request&) const override { return std::nullopt; }
    /// Forwarding requests with this target throws.
    void failFor(const std::string& target) { failingTarget_ = target; }
    http::Request forwarded(const http::Request& request, const ForwardingOptions&) const override
    {
        if (request.target == failingTarget_)
            throw std::bad_alloc();
        return request;
    }
    AnswerClass classify(const http::ResponseHead& head, const RequestFacts&, const catalog::InstanceId&) const override
    {
        return head.status == 503 ? AnswerClass::NotRun : AnswerClass::Served;
    }
    bool namesRequest(const http::ResponseHead&) const override { return true; }
    ratelimits::LimitHeader limit(const http::ResponseHead& head) const override
    {
        ratelimits::LimitHeader limit;
        if (const auto value = head.headers.find("limit"))
            ratelimits::addField(limit, *value);
        return limit;
    }
    notices::ServerNotice notice(const http::ResponseHead& head) const override
    {
        notices::ServerNotice notice;
        if (const auto value = head.headers.find("leaving"))
            notices::addLeaving(notice, *value);
        if (const auto value = head.headers.find("rest"))
            notices::addRest(notice, *value);
        return notice;
    }
    http::ResponseHead refusal(unsigned status, std::optional<framework::Milliseconds> retryAfter) const override
    {
        http::ResponseHead head { status, {}, {} };
        if (retryAfter)
            head.headers.add("Retry-After", std::to_string(retryAfter->count()));
        return head;
    }

private:
    std::string resumedAttempt_;
    std::string failingTarget_;
    std::optional<std::uint64_t> lastEvent_;
    framework::Milliseconds timeLeft_ { 15000 };
};

/// A clock that a test may set back by some time.
class OffsetClock final : public framework::IClock {
public:
    void setBackBy(framework::Milliseconds offset) { offset_ = offset; }
    framework::SteadyTime now() const override { return std::chrono::steady_clock::now() - offset_; }

private:
    framework::Milliseconds offset_ { 0 };
};

/// Records the answer.
class RecordingExchange final : public http::IExchange {
public:
    explicit RecordingExchange(const std::string& target = "/model/1")
    {
        request_.target = target;
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
    framework::Milliseconds retryAfter() const
    {
        return framework::Milliseconds(std::stoi(std::string(*head_->headers.find("Retry-After"))));
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
    void deny(framework::Milliseconds retryAfter) { denial_ = retryAfter; }
    std::size_t asked() const { return asked_; }
    std::size_t withdrawn() const { return withdrawn_; }
    const std::vector<ratelimits::LimitStatement>& shared() const { return shared_; }

    void share(const ratelimits::LimitStatement& statement, const framework::Endpoint&) override
    {
        shared_.push_back(statement);
    }
    void ask(const ratelimits::PermitOrder&, std::function<void(const ratelimits::PermitReply&)> handler) override
    {
        // Bounds the test if requests ask without end.
        constexpr std::size_t maxAsked = 50;
        if (++asked_ <= maxAsked)
            handler({ !denial_.has_value(), denial_.value_or(framework::Milliseconds(0)), "test" });
    }
    void withdraw(const ratelimits::PermitNumber&) override { ++withdrawn_; }

private:
    std::optional<framework::Milliseconds> denial_;
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
        answer_.origin = streams::StreamOrigin { framework::ServiceName(service), catalog::SoftwareVersion(version) };
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
        route.timeout = framework::Milliseconds(15000);
        route.isResumable = true;
        route.maxServers = 2;
        route.targetLatency = framework::Milliseconds(2500);
        route.targets.push_back({ framework::ServiceName("engines"), 1 });
        made.routes.push_back(route);
        catalog::Service service { framework::ServiceName("engines"), 10, catalog::EngineProfile() };
        service.engine->weights = catalog::MegaBytes(200000);
        service.engine->models.add(
            { framework::ModelName("rare"), catalog::MegaBytes(70000), framework::Milliseconds(6000),
                framework::Milliseconds(800), framework::Milliseconds(600), catalog::MegaBytes(60), 0 });
        made.services.push_back(service);
        return std::make_shared<const catalog::Configuration>(made);
    }

    static catalog::EngineState stateWithModel()
    {
        catalog::EngineState state;
        state.engine = engine().endpoint;
        state.held.push_back({ framework::ModelName("rare"), 1, {}, 0, 0 });
        return state;
    }

    static catalog::Upstream engine()
    {
        catalog::Upstream upstream;
        upstream.instance = catalog::InstanceId("e-1");
        upstream.service = framework::ServiceName("engines");
        upstream.endpoint = framework::Endpoint("127.0.0.1:9");
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
    std::shared_ptr<RecordingExchange> sendWaitingRequest(framework::Milliseconds loadedWithin)
    {
        auto exchange = std::make_shared<RecordingExchange>();
        onTraffic([&] {
            catalog::EngineState state;
            state.engine = engine().endpoint;
            state.expected.push_back({ framework::ModelName("rare"), loadedWithin });
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

    void shutDownWithin(framework::Milliseconds startWithin, framework::Milliseconds answerWithin)
    {
        onTraffic([&] {
            framework::ShutdownDeadlines deadlines;
            deadlines.noticedBy = framework::Deadline::after(clock.now(), startWithin);
            deadlines.startBy = framework::Deadline::after(clock.now(), startWithin);
            deadlines.answerBy = framework::Deadline::after(clock.now(), answerWithin);
            forwarder.beginShutdown(deadlines);
        });
    }
    void shutDownWithin(framework::Milliseconds startWithin) { shutDownWithin(startWithin, 2 * startWithin); }

    OffsetClock clock;
    framework::EventThread traffic;
    OneModelDialect dialect;
    SameOrigins origins;
    PromptPermits permits;
    UnlimitedQuotas quotas { traffic };
    LoadPlan lastPlan;
    Forwarder forwarder { { traffic, clock, dialect, std::make_shared<framework::Metrics>(),
                              [this](const LoadPlan& plan) { lastPlan = plan; }, [](const auto&) {}, origins, permits,
                              quotas, [](const fairness::UseReport&) {}, testBudget() },
        {} };
};

/// Accepts connections and answers nothing, in place of the engine.
class SilentEngine {
public:
    catalog::Upstream upstream() const
    {
        catalog::Upstream server = OneEngine::engine();
        server.endpoint = framework::Endpoint("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
        return server;
    }
    catalog::EngineState stateWithModel() const
    {
        catalog::EngineState state = OneEngine::stateWithModel();
        state.engine = upstream().endpoint;
        return state;
    }
    boost::asio::ip::tcp::socket accept() { return acceptor_.accept(); }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_ { context_,
        boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
};

} // namespace lagoon::forwarding
