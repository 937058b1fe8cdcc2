#pragma once

#include "framework/metrics.h"
#include "wire/ilink.h"
#include "wire/internal/linktable.h"
#include "wire/linktransport.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <memory>
#include <vector>

namespace lagoon::wire {

/// One TCP connection. All its state is used on its strand only.
class TcpLink final : public ILink, public std::enable_shared_from_this<TcpLink> {
public:
    using Strand = boost::asio::strand<boost::asio::any_io_executor>;

    TcpLink(const Strand&, framework::Endpoint peer, const LinkSettings&, LinkHandlers,
        std::shared_ptr<framework::Metrics>, std::shared_ptr<LinkTable>);
    ~TcpLink() override;
    TcpLink(const TcpLink&) = delete;
    TcpLink& operator=(const TcpLink&) = delete;

    boost::asio::ip::tcp::socket& socket() { return socket_; }
    /// Starts reading and writing on a connected socket.
    void start();
    void startConnecting(const boost::asio::ip::tcp::endpoint&);
    /// Fails asynchronously on the strand, like a failed connection attempt. Used for endpoints that are not addresses.
    void failLater(framework::Error);
    /// Fails asynchronously, as the peer has exceeded a limit.
    void failFor(const char* reason);

    void send(const Message&) override;
    void close() override;
    const framework::Endpoint& peer() const override { return peer_; }

private:
    void readLength();
    void readBody(std::size_t length);
    void readBodyLater(std::size_t length);
    void deliver();
    void write();
    void failByException(const char* step);
    void fail(framework::Error);
    void closeSocket();

    Strand strand_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connectTimer_;
    boost::asio::steady_timer roomTimer_;
    framework::Endpoint peer_;
    LinkSettings settings_;
    LinkHandlers handlers_;
    std::shared_ptr<framework::Metrics> metrics_;
    std::shared_ptr<LinkTable> table_;
    bool isConnected_ = false;
    bool isClosed_ = false;
    bool isWriting_ = false;
    std::deque<std::vector<std::uint8_t>> queue_;
    std::array<std::uint8_t, lengthPrefixBytes> lengthBytes_ {};
    std::vector<std::uint8_t> bodyBytes_;
};

} // namespace lagoon::wire
