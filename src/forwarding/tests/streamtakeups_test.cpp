#include "forwarding/tests/oneengine.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <list>
#include <stdexcept>

namespace lagoon::forwarding {

namespace {

using framework::Endpoint;
using framework::Milliseconds;
using framework::ModelName;

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
        onTraffic([&] {
            clock.setBackBy(alone);
            forwarder.setUpstreams({});
            forwarder.setUpstreams({ silent.upstream() });
            for (Milliseconds before = alone; before.count() > 0; before -= Milliseconds(1000)) {
                clock.setBackBy(before);
                forwarder.didConfirmUpstreams(clock.now());
            }
            clock.setBackBy(Milliseconds(0));
            forwarder.didConfirmUpstreams(clock.now());
        });
        return takeUp(silent.stateWithModel());
    }

    static bool isRefusedAtOnce(const RecordingExchange& exchange)
    {
        return exchange.status() == 503 && exchange.retryAfter().count() < 1000;
    }

    SilentEngine silent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamTakeUps, TakenUpStreams)

// Prevents a guess where nobody knows which version began a stream.
BOOST_AUTO_TEST_CASE(anUnknownStreamIsRefusedAtOnce) { BOOST_TEST(isRefusedAtOnce(*takeUp(stateWithModel()))); }

// Prevents a guess where this router has seen one version alone for longer than any caller that it knows of waits, or
// than the stream's caller states: that may have waited for longer, and other routers may have known other servers.
BOOST_AUTO_TEST_CASE(anUnknownStreamIsRefusedHoweverLongThereHasBeenOneVersionAlone)
{
    for (const Milliseconds timeLeft : { Milliseconds(2000), Milliseconds(15000), Milliseconds::max() }) {
        dialect.setTimeLeft(timeLeft);
        for (const Milliseconds alone : { Milliseconds(14000), Milliseconds(17000) })
            BOOST_TEST(isRefusedAtOnce(*takeUpAfter(alone)));
    }
}

// Prevents a guess for a caller that doesn't name the attempt that began its stream.
BOOST_AUTO_TEST_CASE(aStreamWithoutItsAttemptIsRefusedAtOnce)
{
    dialect.takeUpStreams("");
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
    origins.set("engines", "v1");
    onTraffic([&] { forwarder.setUpstreams({ silent.upstream() }); });
    std::vector<std::shared_ptr<RecordingExchange>> taken;
    for (std::size_t count = 0; count <= connections; ++count)
        taken.push_back(takeUp(silent.stateWithModel()));
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

} // namespace lagoon::forwarding
