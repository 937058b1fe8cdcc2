#include "forwarding/forwarder.h"
#include "forwarding/tests/forwarderdoubles.h"
#include "forwarding/tests/testbudget.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

namespace lagoon::forwarding {

namespace {

using framework::Endpoint;
using framework::Milliseconds;
using framework::ModelName;
using framework::ServiceName;

class SettableClock final : public framework::IClock {
public:
    void advance(Milliseconds time) { offset_ += time; }
    framework::SteadyTime now() const override { return std::chrono::steady_clock::now() + offset_; }

private:
    Milliseconds offset_ { 0 };
};

catalog::Customer customer(const std::string& name, const std::vector<std::string>& keys)
{
    catalog::Customer made;
    made.name = catalog::CustomerName(name);
    for (const std::string& key : keys)
        made.keys.push_back(catalog::KeyDigest::of(key));
    return made;
}

/// A server that begins a stream and never ends it.
class RunningServer {
public:
    Endpoint endpoint() const { return Endpoint("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())); }

    /// Returns the request's head.
    std::string accept()
    {
        socket_ = acceptor_.accept();
        std::string head;
        boost::asio::read_until(socket_, boost::asio::dynamic_buffer(head), "\r\n\r\n");
        return head;
    }

    std::string acceptAndBegin()
    {
        std::string head = accept();
        boost::asio::write(socket_,
            boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                                            "chunked\r\n\r\n10\r\nid: 1\ndata: a\n\n\r\n")));
        return head;
    }

    void close() { socket_.close(); }

    /// Whether the other side has closed the connection; waits for it.
    bool isCut()
    {
        std::array<char, 64> bytes {};
        boost::system::error_code error;
        socket_.read_some(boost::asio::buffer(bytes), error);
        return error.failed();
    }

    bool hasConnection()
    {
        acceptor_.non_blocking(true);
        boost::system::error_code error;
        tcp::socket next(context_);
        acceptor_.accept(next, error);
        return !error;
    }

private:
    using tcp = boost::asio::ip::tcp;

    boost::asio::io_context context_;
    tcp::acceptor acceptor_ { context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
    tcp::socket socket_ { context_ };
};

/// A forwarder whose configuration names customers, and one engine that doesn't have the requests' model loaded.
struct KeyedForwarder {
    ~KeyedForwarder() { traffic.stop(); }

    static catalog::Route route(const std::string& prefix, bool isPublic)
    {
        catalog::Route made;
        made.host = "callers";
        made.prefix = prefix;
        made.kind = catalog::RouteKind::Streaming;
        made.timeout = Milliseconds(15000);
        made.isResumable = true;
        made.maxServers = 2;
        made.targets.push_back({ ServiceName("engines"), 1 });
        made.isPublic = isPublic;
        return made;
    }

    void configure(const std::vector<catalog::Customer>& customers)
    {
        catalog::Configuration made;
        made.version = catalog::ConfigurationVersion(++version);
        made.routes = { route("/model/", false), route("/public/", true) };
        catalog::Service service { ServiceName("engines"), 10, catalog::EngineProfile() };
        service.engine->weights = catalog::MegaBytes(200000);
        service.engine->models.add({ ModelName("rare"), catalog::MegaBytes(70000), Milliseconds(6000),
            Milliseconds(800), Milliseconds(600), catalog::MegaBytes(60), 0 });
        made.services.push_back(service);
        made.customers.emplace();
        for (const catalog::Customer& one : customers)
            made.customers->add(one);
        onTraffic([&] { forwarder.setConfiguration(std::make_shared<const catalog::Configuration>(made)); });
    }

    void confirm()
    {
        onTraffic([this] { forwarder.didConfirmConfiguration(clock.now()); });
    }

    /// Lists the engine, whose agent expects the model to be loaded in a while.
    void listEngine()
    {
        catalog::EngineState state;
        state.engine = Endpoint("127.0.0.1:9");
        state.expected.push_back({ ModelName("rare"), Milliseconds(3000) });
        list({ state });
    }

    /// Lists engines that have the model.
    void listEnginesAt(const std::vector<Endpoint>& endpoints)
    {
        std::vector<catalog::EngineState> states;
        for (const Endpoint& endpoint : endpoints) {
            catalog::EngineState& state = states.emplace_back();
            state.engine = endpoint;
            state.held.push_back({ ModelName("rare"), 1, {}, 0, 0 });
        }
        list(states);
    }

    void list(const std::vector<catalog::EngineState>& states)
    {
        std::vector<catalog::Upstream> upstreams;
        for (const catalog::EngineState& state : states) {
            catalog::Upstream& upstream = upstreams.emplace_back();
            upstream.instance = catalog::InstanceId("e-" + std::to_string(upstreams.size()));
            upstream.service = ServiceName("engines");
            upstream.endpoint = state.engine;
        }
        onTraffic([&] {
            forwarder.setUpstreams(upstreams);
            for (const catalog::EngineState& state : states)
                forwarder.setEngineState(state);
        });
    }

    std::shared_ptr<KeyExchange> send(const std::vector<std::string>& keys, const std::string& target = "/model/1")
    {
        auto exchange = std::make_shared<KeyExchange>(target, keys);
        onTraffic([&] { forwarder.handle(exchange); });
        return exchange;
    }

    /// Waits until the condition, which is checked on the traffic thread, holds.
    void waitUntil(const std::function<bool()>& condition)
    {
        bool holds = false;
        while (!holds) {
            onTraffic([&] { holds = condition(); });
            std::this_thread::sleep_for(Milliseconds(2));
        }
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

    std::uint64_t version = 0;
    SettableClock clock;
    framework::EventThread traffic;
    KeyDialect dialect;
    NoOrigins origins;
    NoPermits permits;
    NoQuotas quotas;
    std::shared_ptr<framework::Metrics> metrics = std::make_shared<framework::Metrics>();
    ForwarderSettings settings;
    Forwarder forwarder { { traffic, clock, dialect, metrics, [](const LoadPlan&) {}, [](const auto&) {}, origins,
                              permits, quotas, [](const fairness::UseReport&) {}, testBudget() },
        settings };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CustomerKeys, KeyedForwarder)

BOOST_AUTO_TEST_CASE(aCallerWithoutAKeyThatACustomerHoldsIsRefused)
{
    configure({ customer("large", { "k1" }) });
    confirm();
    listEngine();
    BOOST_TEST(send({})->status() == 401u);
    BOOST_TEST(send({ "k1", "k1" })->status() == 401u);
    BOOST_TEST(send({ "unknown" })->status() == 401u);
    BOOST_TEST(!send({ "unknown" })->hasTimeToComeBack());
    BOOST_TEST(send({ "k1" })->status() == 0u);
    BOOST_TEST(send({}, "/public/1")->status() == 0u);
}

// Prevents a caller with a new key from being turned away for good by a router that the store doesn't answer any more.
BOOST_AUTO_TEST_CASE(anUnknownKeyIsRefusedForNowWhileTheConfigurationIsUnconfirmed)
{
    configure({ customer("large", { "k1" }) });
    confirm();
    listEngine();
    clock.advance(settings.maxUnconfirmed + Milliseconds(100));
    const auto refused = send({ "new" });
    BOOST_TEST(refused->status() == 503u);
    BOOST_TEST(refused->hasTimeToComeBack());
    BOOST_TEST(send({ "k1" })->status() == 0u);
    confirm();
    BOOST_TEST(send({ "new" })->status() == 401u);
}

BOOST_AUTO_TEST_CASE(outcomesAreCountedByCustomer)
{
    configure({ customer("large", { "k1" }) });
    confirm();
    listEngine();
    const auto waiting = send({ "k1" });
    const auto anonymous = send({}, "/public/1");
    onTraffic([this] { forwarder.answerNow(); });
    const std::string text = metrics->text();
    BOOST_TEST(text.find(R"(lagoon_customer_requests_total{customer="large",outcome="refused"} 1)") != text.npos);
    BOOST_TEST(text.find(R"(customer="")") == text.npos);
}

// Prevents a key from leaving the router with an answer, a metric or a request to a server.
BOOST_AUTO_TEST_CASE(nothingThatLeavesTheForwarderHasAKey)
{
    const std::string key = "secret-key-1";
    configure({ customer("large", { key }) });
    confirm();
    RunningServer server;
    listEnginesAt({ server.endpoint() });
    std::string said;
    for (const std::vector<std::string>& keys : std::vector<std::vector<std::string>> { { key, key }, { key + "x" } })
        said += send(keys)->text();
    const auto served = send({ key });
    said += server.acceptAndBegin();
    waitUntil([&] { return !served->pieces().empty(); });
    onTraffic([this] { forwarder.answerNow(); });
    said += served->text() + metrics->text();
    BOOST_TEST(said.find("large") != std::string::npos);
    BOOST_TEST(said.find("POST /model/1") != std::string::npos);
    BOOST_TEST(said.find(key) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(requestsGoOnWhenTheirKeyIsTakenAway)
{
    configure({ customer("large", { "k1" }) });
    listEngine();
    const auto waiting = send({ "k1" });
    configure({ customer("large", { "k2" }) });
    BOOST_TEST(waiting->status() == 0u);
}

// Prevents a request that waits when its key is taken away from running.
BOOST_AUTO_TEST_CASE(waitingRequestsEndWithTheirKeyIfTheSettingsSaySo)
{
    settings.revocation.endsRequests = true;
    onTraffic([this] { forwarder.setSettings(settings); });
    configure({ customer("large", { "k1", "k2" }) });
    confirm();
    listEngine();
    const auto revoked = send({ "k1" });
    const auto kept = send({ "k2" });
    const auto anonymous = send({ "k1" }, "/public/1");
    // A key that moves to another customer isn't taken away.
    configure({ customer("small", { "k2" }) });
    BOOST_TEST(revoked->status() == 401u);
    BOOST_TEST(kept->status() == 0u);
    BOOST_TEST(anonymous->status() == 0u);
    onTraffic([this] { BOOST_TEST(forwarder.requests() == 2u); });
}

// Prevents a request that runs from holding its server beyond the stated time after its key was taken away.
BOOST_AUTO_TEST_CASE(runningRequestsAreBrokenOffWithinTheStatedTime)
{
    settings.revocation = { true, Milliseconds(1200) };
    onTraffic([this] { forwarder.setSettings(settings); });
    configure({ customer("large", { "k1" }) });
    RunningServer server;
    listEnginesAt({ server.endpoint() });
    const auto begun = send({ "k1" });
    server.acceptAndBegin();
    waitUntil([&] { return !begun->pieces().empty(); });
    confirm();
    const auto confirmedAt = clock.now();
    configure({ customer("large", { "k2" }) });
    BOOST_TEST(!begun->isBrokenOff());
    waitUntil([&] { return begun->isBrokenOff(); });
    BOOST_TEST((clock.now() >= confirmedAt + Milliseconds(200)));
    onTraffic([this] { BOOST_TEST(forwarder.requests() == 0u); });
    BOOST_TEST(server.isCut());
}

// Prevents a request that runs from being sent once more after its key was taken away.
BOOST_AUTO_TEST_CASE(aRequestWhoseKeyWasTakenAwayIsNotRepeated)
{
    settings.revocation = { true, Milliseconds(60000) };
    // Each request may be repeated once.
    settings.retryShare = 1;
    onTraffic([this] { forwarder.setSettings(settings); });
    configure({ customer("large", { "k1" }) });
    confirm();
    RunningServer server;
    listEnginesAt({ server.endpoint() });
    const auto sent = send({ "k1" });
    server.accept();
    RunningServer other;
    listEnginesAt({ server.endpoint(), other.endpoint() });
    configure({ customer("large", { "k2" }) });
    BOOST_TEST(sent->status() == 0u);
    server.close();
    bool isRepeated = false;
    waitUntil([&] {
        isRepeated = isRepeated || other.hasConnection();
        return isRepeated || sent->status() != 0;
    });
    BOOST_TEST(!isRepeated);
    BOOST_TEST(sent->status() == 401u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
