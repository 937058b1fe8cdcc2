#include "forwarding/forwarder.h"
#include "forwarding/internal/requestjob.h"
#include "forwarding/tests/forwarderdoubles.h"
#include "forwarding/tests/testbudget.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <list>
#include <map>
#include <stdexcept>

namespace lagoon::forwarding {

namespace {

using framework::Endpoint;
using framework::Milliseconds;
using framework::ServiceName;
using quotas::DrawOutcome;

constexpr const char* customerKey = "key-of-the-customer";

/// Every request comes from the same customer and goes to a plain service.
class OneCustomerDialect final : public IRequestDialect {
public:
    framework::Result<RequestFacts> read(const http::Request&) const override
    {
        RequestFacts facts;
        facts.attempt = "a1";
        facts.timeLeft = Milliseconds(15000);
        return facts;
    }
    std::optional<catalog::KeyDigest> key(const http::Request&) const override
    {
        return catalog::KeyDigest::of(customerKey);
    }
    http::Request forwarded(const http::Request& request, const ForwardingOptions&) const override { return request; }
    AnswerClass classify(const http::ResponseHead& head, const RequestFacts&, const catalog::InstanceId&) const override
    {
        if (head.status == 503)
            return AnswerClass::NotRun;
        return head.status == 200 ? AnswerClass::Served : AnswerClass::Failed;
    }
    bool namesRequest(const http::ResponseHead&) const override { return true; }
    notices::ServerNotice notice(const http::ResponseHead&) const override { return {}; }
    ratelimits::LimitHeader limit(const http::ResponseHead&) const override { return {}; }
    http::ResponseHead refusal(unsigned status, std::optional<Milliseconds> retryAfter) const override
    {
        http::ResponseHead head { status, {}, {} };
        if (retryAfter)
            head.headers.add("Retry-After", std::to_string(retryAfter->count()));
        return head;
    }
};

class SystemClock final : public framework::IClock {
public:
    framework::SteadyTime now() const override { return std::chrono::steady_clock::now(); }
};

/// A caller's request, which records its answer.
class CallerExchange final : public http::IExchange {
public:
    CallerExchange()
    {
        request_.target = "/get/1";
        request_.headers.add("Host", "callers");
    }
    const http::Request& request() const override { return request_; }
    framework::SteadyTime receivedAt() const override { return receivedAt_; }
    void answer(http::ResponseHead head, std::string) override { head_ = std::move(head); }
    void beginAnswer(http::ResponseHead head) override { head_ = std::move(head); }
    void sendPiece(std::string_view) override { }
    void endAnswer() override { }
    void breakOff() override { }
    bool hasCallerDisconnected() const override { return hasDisconnected_; }
    void setDisconnectHandler(std::function<void()> handler) override { didDisconnect_ = std::move(handler); }
    std::size_t unsentBytes() const override { return 0; }
    void setDrainedHandler(std::function<void()>) override { }

    void disconnect()
    {
        hasDisconnected_ = true;
        didDisconnect_();
    }
    unsigned status() const { return head_ ? head_->status : 0; }
    std::string retryAfter() const
    {
        const auto value = head_->headers.find("Retry-After");
        return value ? std::string(*value) : std::string();
    }

private:
    http::Request request_;
    framework::SteadyTime receivedAt_ = std::chrono::steady_clock::now();
    std::optional<http::ResponseHead> head_;
    bool hasDisconnected_ = false;
    std::function<void()> didDisconnect_;
};

/// Leaves the decisions on draws to the test, and records what else is said.
class RecordedQuotas final : public quotas::ICustomerQuotas {
public:
    quotas::DrawNumber draw(
        const quotas::QuotaDraw& draw, std::function<void(const quotas::DrawReply&)> handler) override
    {
        const quotas::DrawNumber number(++draws_);
        lastDraw = draw;
        handlers_[number] = std::move(handler);
        return number;
    }
    void withdraw(const quotas::DrawNumber& number) override
    {
        handlers_.erase(number);
        ++withdrawn;
    }
    void giveBack(const quotas::QuotaDraw& draw) override { givenBack += draw.cost; }
    void charge(const quotas::QuotaDraw& draw) override { charged += draw.cost; }

    /// Answers all draws that wait.
    void decide(DrawOutcome outcome, Milliseconds retryAfter = {})
    {
        for (auto& [number, handler] : std::exchange(handlers_, {}))
            handler({ outcome, retryAfter, "test" });
    }

    quotas::QuotaDraw lastDraw;
    std::size_t withdrawn = 0;
    double givenBack = 0;
    double charged = 0;

private:
    std::uint64_t draws_ = 0;
    std::map<quotas::DrawNumber, std::function<void(const quotas::DrawReply&)>> handlers_;
};

/// A forwarder with two plain servers, whose answers the test gives.
struct OneCustomer {
    using Socket = boost::asio::ip::tcp::socket;

    OneCustomer()
    {
        for (std::size_t index = 0; index < 2; ++index) {
            auto& acceptor = acceptors.emplace_back(
                context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
            acceptor.non_blocking(true);
            catalog::Upstream server;
            server.instance = catalog::InstanceId("s-" + std::to_string(index));
            server.service = ServiceName("plain");
            server.endpoint = Endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
            server.version = catalog::SoftwareVersion("v1");
            servers.push_back(server);
        }
        onTraffic([this] {
            forwarder.setConfiguration(configuration());
            forwarder.setUpstreams(servers);
            forwarder.didConfirmUpstreams(clock.now());
        });
    }
    ~OneCustomer()
    {
        onTraffic([this] { forwarder.answerNow(); });
        traffic.stop();
    }

    static catalog::Customer customer()
    {
        catalog::Customer customer;
        customer.name = catalog::CustomerName("one");
        customer.quota.perSecond = 10;
        customer.quota.burst = 10;
        customer.keys.push_back(catalog::KeyDigest::of(customerKey));
        return customer;
    }

    static catalog::ConfigurationPointer configuration()
    {
        catalog::Configuration made;
        made.version = catalog::ConfigurationVersion(1);
        catalog::Route route;
        route.host = "callers";
        route.prefix = "/get/";
        route.kind = catalog::RouteKind::Idempotent;
        route.timeout = Milliseconds(15000);
        route.maxServers = 2;
        route.targetLatency = Milliseconds(2500);
        route.targets.push_back({ ServiceName("plain"), 1 });
        made.routes.push_back(route);
        made.services.push_back({ ServiceName("plain"), 10, std::nullopt });
        made.customers.emplace();
        made.customers->add(customer());
        return std::make_shared<const catalog::Configuration>(made);
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

    void receive()
    {
        onTraffic([this] { forwarder.handle(exchange); });
    }

    void decide(DrawOutcome outcome, Milliseconds retryAfter = {})
    {
        onTraffic([&] { quotas.decide(outcome, retryAfter); });
    }

    /// Waits for a request at any server.
    Socket& receiveAtServer()
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (std::chrono::steady_clock::now() < end) {
            for (auto& acceptor : acceptors) {
                boost::system::error_code error;
                Socket accepted = acceptor.accept(error);
                if (!error)
                    connections.push_back(std::move(accepted));
            }
            for (Socket& connection : connections) {
                boost::system::error_code error;
                if (!connection.is_open())
                    continue;
                connection.non_blocking(true);
                std::array<char, 1024> bytes {};
                if (connection.read_some(boost::asio::buffer(bytes), error) == 0)
                    continue;
                return connection;
            }
        }
        throw std::runtime_error("no request within 10 s");
    }

    static void answer(Socket& connection, std::string_view status)
    {
        connection.non_blocking(false);
        const std::string text = "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 0\r\n\r\n";
        boost::asio::write(connection, boost::asio::buffer(text));
    }

    void waitForEnd()
    {
        bool hasEnded = false;
        while (!hasEnded)
            onTraffic([&] { hasEnded = forwarder.requests() == 0; });
    }

    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::acceptor> acceptors;
    std::vector<catalog::Upstream> servers;
    std::list<Socket> connections;
    std::shared_ptr<CallerExchange> exchange = std::make_shared<CallerExchange>();
    SystemClock clock;
    framework::EventThread traffic;
    OneCustomerDialect dialect;
    NoOrigins origins;
    NoPermits permits;
    RecordedQuotas quotas;
    Forwarder forwarder { { traffic, clock, dialect, std::make_shared<framework::Metrics>(), [](const LoadPlan&) {},
                              [](const auto&) {}, origins, permits, quotas, [](const fairness::UseReport&) {},
                              testBudget() },
        {} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CustomerQuotas, OneCustomer)

BOOST_AUTO_TEST_CASE(aRequestOverTheQuotaIsToldWhenToComeBack)
{
    receive();
    decide(DrawOutcome::OverQuota, Milliseconds(700));
    BOOST_TEST(exchange->status() == 429U);
    BOOST_TEST(exchange->retryAfter() == "700");
    BOOST_TEST(quotas.givenBack == 0);
}

/// Guards against a 429 that says that the customer is over its quota although nobody knows.
BOOST_AUTO_TEST_CASE(anUndecidedRequestIsRefusedAsNotRun)
{
    receive();
    decide(DrawOutcome::Undecided, Milliseconds(500));
    BOOST_TEST(exchange->status() == 503U);
    BOOST_TEST(!exchange->retryAfter().empty());
    BOOST_TEST(quotas.givenBack == 0);
}

BOOST_AUTO_TEST_CASE(aRequestIsSentOnceItsDrawIsGrantedAndKeepsItsPart)
{
    receive();
    onTraffic([this] { BOOST_TEST(forwarder.requests() == 1U); });
    decide(DrawOutcome::Granted);
    answer(receiveAtServer(), "200 OK");
    waitForEnd();
    BOOST_TEST(exchange->status() == 200U);
    BOOST_TEST(quotas.givenBack == 0);
    BOOST_TEST(quotas.charged == 0);
}

/// Guards against a customer that pays for requests that no server could take.
BOOST_AUTO_TEST_CASE(aRequestRefusedAsNotRunGivesItsPartBack)
{
    receive();
    decide(DrawOutcome::Granted);
    answer(receiveAtServer(), "503 Full");
    answer(receiveAtServer(), "503 Full");
    waitForEnd();
    BOOST_TEST(exchange->status() == 503U);
    BOOST_TEST(quotas.givenBack == 1);
    BOOST_TEST(quotas.charged == 0);
}

/// Guards against requests that run twice and count once.
BOOST_AUTO_TEST_CASE(aRepeatAfterThatMayHaveRunIsCharged)
{
    receive();
    decide(DrawOutcome::Granted);
    receiveAtServer().close();
    answer(receiveAtServer(), "200 OK");
    waitForEnd();
    BOOST_TEST(exchange->status() == 200U);
    BOOST_TEST(quotas.charged == 1);
    BOOST_TEST(quotas.givenBack == 0);
}

/// Guards against a customer that pays for a repeat that a server refused, and again for the next one.
BOOST_AUTO_TEST_CASE(aRepeatThatDidNotRunIsNotPaidFor)
{
    receive();
    decide(DrawOutcome::Granted);
    receiveAtServer().close();
    answer(receiveAtServer(), "503 Full");
    waitForEnd();
    BOOST_TEST(exchange->status() == 502U);
    BOOST_TEST(quotas.charged - quotas.givenBack == 0);
}

/// Guards against a part given back although the server's own failure was passed on.
BOOST_AUTO_TEST_CASE(aRequestThatAServerFailedKeepsItsPart)
{
    receive();
    decide(DrawOutcome::Granted);
    answer(receiveAtServer(), "429 Busy");
    waitForEnd();
    BOOST_TEST(exchange->status() == 429U);
    BOOST_TEST(quotas.givenBack == 0);
}

BOOST_AUTO_TEST_CASE(aCallerThatLeavesWithdrawsItsDraw)
{
    receive();
    onTraffic([this] { exchange->disconnect(); });
    waitForEnd();
    BOOST_TEST(quotas.withdrawn == 1U);
    decide(DrawOutcome::Granted);
    BOOST_TEST(exchange->status() == 0U);
}

/// Guards against a customer that pays for requests while there is no server.
BOOST_AUTO_TEST_CASE(aRequestWithoutServersGivesItsPartBack)
{
    onTraffic([this] { forwarder.setUpstreams({}); });
    receive();
    decide(DrawOutcome::Granted);
    waitForEnd();
    BOOST_TEST(exchange->status() == 503U);
    BOOST_TEST(quotas.givenBack == 1);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct OneClaim {
    double costOf(const catalog::Quota& quota, const RequestFacts& facts)
    {
        catalog::Customer customer;
        customer.name = catalog::CustomerName("one");
        customer.quota = quota;
        JobSpec spec;
        spec.configuration = std::make_shared<const catalog::Configuration>();
        spec.customer = &customer;
        spec.facts = facts;
        QuotaClaim claim(quotas);
        if (!claim.ask(spec, [](const quotas::DrawReply&) {}))
            return 0;
        return quotas.lastDraw.cost;
    }

    RecordedQuotas quotas;
};

catalog::Quota quotaIn(catalog::QuotaUnit unit)
{
    catalog::Quota quota;
    quota.unit = unit;
    quota.perSecond = 1000;
    quota.burst = 1000;
    quota.plainTokens = catalog::Tokens(250);
    return quota;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CostsOfRequests, OneClaim)

BOOST_AUTO_TEST_CASE(aRequestCostsOneOrItsTokens)
{
    RequestFacts facts;
    facts.statesTokens = true;
    facts.promptTokens = catalog::Tokens(800);
    facts.maxOutputTokens = catalog::Tokens(60);
    BOOST_TEST(costOf(quotaIn(catalog::QuotaUnit::Requests), facts) == 1);
    BOOST_TEST(costOf(quotaIn(catalog::QuotaUnit::Tokens), facts) == 860);
    BOOST_TEST(costOf(quotaIn(catalog::QuotaUnit::Tokens), {}) == 250);
}

/// Guards against requests that ask a keeper without need.
BOOST_AUTO_TEST_CASE(aCustomerWithoutALimitAsksNobody)
{
    BOOST_TEST(costOf({}, {}) == 0);
    BOOST_TEST(quotas.withdrawn == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
