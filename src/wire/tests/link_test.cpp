#include "wire/linktransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace lagoon::wire;
using namespace lagoon::framework;

namespace {

const Endpoint anyPort("127.0.0.1:0");

LinkHandlers handlers(std::function<void(const std::shared_ptr<ILink>&, Message)> onMessage,
    std::function<void(const std::shared_ptr<ILink>&, const Error&)> onClosed = nullptr)
{
    return LinkHandlers { std::move(onMessage), std::move(onClosed) };
}

/// Opens a plain connection, over which a test can send invalid frames.
boost::asio::ip::tcp::socket connectRaw(boost::asio::io_context& context, const Endpoint& to)
{
    boost::asio::ip::tcp::socket socket(context);
    const auto port = static_cast<unsigned short>(std::stoi(to.value().substr(to.value().rfind(':') + 1)));
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    return socket;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Links)

BOOST_AUTO_TEST_CASE(aPingReceivesAPong)
{
    auto transport = makeTcpLinkTransport({}, std::make_shared<Metrics>());
    const auto endpoint = transport->listen(anyPort, handlers([](const std::shared_ptr<ILink>& link, Message received) {
        fb::PongT pong;
        pong.nonce = received.body.AsPing()->nonce;
        link->send(message(std::move(pong)));
    }));
    BOOST_REQUIRE(endpoint.has_value());
    std::promise<std::uint64_t> answered;
    auto link = transport->connect(endpoint.value(), handlers([&](const std::shared_ptr<ILink>&, Message received) {
        answered.set_value(received.body.AsPong()->nonce);
    }));
    fb::PingT ping;
    ping.nonce = 42;
    link->send(message(std::move(ping)));
    BOOST_TEST(answered.get_future().get() == 42u);
    transport->stop();
}

BOOST_AUTO_TEST_CASE(aRefusedConnectionIsReported)
{
    auto transport = makeTcpLinkTransport({}, std::make_shared<Metrics>());
    std::promise<Error> closed;
    auto link = transport->connect(Endpoint("127.0.0.1:1"),
        handlers([](const std::shared_ptr<ILink>&, Message) {},
            [&](const std::shared_ptr<ILink>&, const Error& error) { closed.set_value(error); }));
    const Error error = closed.get_future().get();
    BOOST_TEST(error.step == "connect");
    BOOST_TEST(error.peer == "127.0.0.1:1");
    transport->stop();
}

// Prevents a frame that claims to have 4 GB, from a foreign process or due to a defect, from exhausting the memory. The
// link must be closed at once without allocating the memory and be counted, and the process must continue to serve
// others.
BOOST_AUTO_TEST_CASE(anOversizedFrameClosesOnlyItsLink)
{
    auto metrics = std::make_shared<Metrics>();
    auto transport = makeTcpLinkTransport({}, metrics);
    std::promise<Error> closed;
    const auto endpoint = transport->listen(anyPort,
        handlers([](const std::shared_ptr<ILink>&, Message) {},
            [&](const std::shared_ptr<ILink>&, const Error& error) { closed.set_value(error); }));
    boost::asio::io_context context;
    auto rawPeer = connectRaw(context, endpoint.value());
    const std::array<std::uint8_t, 4> length { 0xff, 0xff, 0xff, 0xff };
    boost::asio::write(rawPeer, boost::asio::buffer(length));
    BOOST_CHECK(closed.get_future().get().code == ErrorCode::BadFrame);
    BOOST_TEST(metrics->text().find("lagoon_bad_frames_total{reason=\"length\"} 1") != std::string::npos);
    transport->stop();
}

// Prevents an exception in the handler of a message from ending the process, and the sender from waiting for an answer
// that never comes.
BOOST_AUTO_TEST_CASE(aThrowingHandlerClosesOnlyItsLink)
{
    auto metrics = std::make_shared<Metrics>();
    auto transport = makeTcpLinkTransport({}, metrics);
    const auto endpoint = transport->listen(anyPort, handlers([](const std::shared_ptr<ILink>& link, Message received) {
        const std::uint64_t nonce = received.body.AsPing()->nonce;
        if (nonce == 1)
            throw 1;
        fb::PongT pong;
        pong.nonce = nonce;
        link->send(message(std::move(pong)));
    }));
    BOOST_REQUIRE(endpoint.has_value());
    std::promise<void> closed;
    auto failing = transport->connect(endpoint.value(),
        handlers([](const std::shared_ptr<ILink>&, Message) {},
            [&](const std::shared_ptr<ILink>&, const Error&) { closed.set_value(); }));
    fb::PingT ping;
    ping.nonce = 1;
    failing->send(message(fb::PingT(ping)));
    closed.get_future().wait();
    std::promise<std::uint64_t> answered;
    auto other = transport->connect(endpoint.value(), handlers([&](const std::shared_ptr<ILink>&, Message received) {
        answered.set_value(received.body.AsPong()->nonce);
    }));
    ping.nonce = 2;
    other->send(message(std::move(ping)));
    BOOST_TEST(answered.get_future().get() == 2u);
    BOOST_TEST(metrics->text().find("lagoon_exceptions_total 1") != std::string::npos);
    transport->stop();
}

// Prevents peers that stop just short of the end of their frames from using up the memory, or the links of others.
BOOST_AUTO_TEST_CASE(unfinishedFramesMakeRoomForOthers)
{
    constexpr std::uint32_t frameBytes = 600 * 1024;
    auto metrics = std::make_shared<Metrics>();
    LinkSettings settings;
    settings.maxUnfinishedBytes = 1024 * 1024;
    auto transport = makeTcpLinkTransport(settings, metrics);
    std::promise<void> received;
    const auto endpoint
        = transport->listen(anyPort, handlers([&](const std::shared_ptr<ILink>&, Message) { received.set_value(); }));
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> stalled;
    for (int count = 0; count < 3; ++count) {
        stalled.push_back(connectRaw(context, endpoint.value()));
        const std::array<std::uint32_t, 1> length { frameBytes };
        boost::asio::write(stalled.back(), boost::asio::buffer(length));
        boost::asio::write(stalled.back(), boost::asio::buffer(std::string(frameBytes - 1, 'x')));
    }
    fb::AnswerChunkT piece;
    piece.id = std::make_unique<fb::DispatchIdT>();
    piece.bytes.assign(frameBytes, 'y');
    auto link = transport->connect(endpoint.value(), handlers([](const std::shared_ptr<ILink>&, const Message&) {}));
    link->send(message(std::move(piece)));
    received.get_future().wait();
    BOOST_TEST(metrics->text().find("lagoon_links_closed_total{reason=\"limit\"}") != std::string::npos);
    transport->stop();
}

// Prevents short frames from waiting for long ones that fill the room.
BOOST_AUTO_TEST_CASE(shortFramesNeedNoRoom)
{
    constexpr std::uint32_t frameBytes = 600 * 1024;
    auto metrics = std::make_shared<Metrics>();
    LinkSettings settings;
    settings.maxUnfinishedBytes = 64 * 1024;
    auto transport = makeTcpLinkTransport(settings, metrics);
    std::promise<void> received;
    const auto endpoint = transport->listen(
        anyPort, handlers([&](const std::shared_ptr<ILink>&, const Message&) { received.set_value(); }));
    boost::asio::io_context context;
    auto stalled = connectRaw(context, endpoint.value());
    const std::array<std::uint32_t, 1> length { frameBytes };
    boost::asio::write(stalled, boost::asio::buffer(length));
    boost::asio::write(stalled, boost::asio::buffer(std::string(frameBytes - 1, 'x')));
    std::this_thread::sleep_for(Milliseconds(300));
    auto link = transport->connect(endpoint.value(), handlers([](const std::shared_ptr<ILink>&, const Message&) {}));
    link->send(message(fb::PingT()));
    received.get_future().wait();
    BOOST_TEST(metrics->text().find("lagoon_links_closed_total") == std::string::npos);
    transport->stop();
}

// Prevents peers that send nothing from using up the links.
BOOST_AUTO_TEST_CASE(linksWithoutMessagesMakeRoomForOthers)
{
    LinkSettings settings;
    settings.maxLinks = 4;
    auto transport = makeTcpLinkTransport({}, std::make_shared<Metrics>());
    auto server = makeTcpLinkTransport(settings, std::make_shared<Metrics>());
    std::promise<void> received;
    const auto endpoint
        = server->listen(anyPort, handlers([&](const std::shared_ptr<ILink>&, Message) { received.set_value(); }));
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> silent;
    for (std::size_t count = 0; count < settings.maxLinks; ++count)
        silent.push_back(connectRaw(context, endpoint.value()));
    auto link = transport->connect(endpoint.value(), handlers([](const std::shared_ptr<ILink>&, const Message&) {}));
    link->send(message(fb::PingT()));
    received.get_future().wait();
    transport->stop();
    server->stop();
}

// Prevents peers that read no answers from using up the memory together.
BOOST_AUTO_TEST_CASE(unreadAnswersMakeRoomForOthers)
{
    auto metrics = std::make_shared<Metrics>();
    LinkSettings settings;
    settings.maxQueuedBytes = 16 * 1024 * 1024;
    auto server = makeTcpLinkTransport(settings, metrics);
    const auto endpoint = server->listen(anyPort, handlers([](const std::shared_ptr<ILink>& link, const Message&) {
        fb::AnswerChunkT chunk;
        chunk.id = std::make_unique<fb::DispatchIdT>();
        chunk.bytes.assign(4 * 1024 * 1024, 'x');
        link->send(message(std::move(chunk)));
    }));
    const std::vector<std::uint8_t> ping = encode(message(fb::PingT()));
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> unread;
    for (int count = 0; count < 4; ++count) {
        unread.push_back(connectRaw(context, endpoint.value()));
        for (int sent = 0; sent < 6; ++sent)
            boost::asio::write(unread.back(), boost::asio::buffer(ping));
    }
    while (metrics->text().find("lagoon_links_closed_total{reason=\"limit\"}") == std::string::npos)
        std::this_thread::yield();
    auto transport = makeTcpLinkTransport({}, std::make_shared<Metrics>());
    std::promise<void> received;
    auto link = transport->connect(
        endpoint.value(), handlers([&](const std::shared_ptr<ILink>&, const Message&) { received.set_value(); }));
    link->send(message(fb::PingT()));
    received.get_future().wait();
    transport->stop();
    server->stop();
}

BOOST_AUTO_TEST_SUITE_END()
