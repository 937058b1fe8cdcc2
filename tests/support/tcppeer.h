#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

/// One end of a plain TCP connection, for tests of what happens to bytes.
namespace lagoon::testsupport {

class TcpPeer {
public:
    explicit TcpPeer(boost::asio::ip::tcp::socket);
    /// To `address:port`; throws std::runtime_error if it can't.
    explicit TcpPeer(const std::string& endpoint);

    void send(const std::string& bytes);
    /// Waits for so many bytes; fewer come only when the connection ends. Throws when neither happens.
    std::string receive(std::size_t size);
    /// Whether bytes or the end could be read now.
    bool hasInput();
    /// Waits for the end; false if bytes come instead.
    bool reachesEnd() { return receive(1).empty(); }
    void close();

private:
    boost::asio::ip::tcp::socket socket_;
};

class TcpServer {
public:
    TcpServer();
    std::string endpoint() const;
    /// Waits for a connection.
    TcpPeer accept();

private:
    boost::asio::ip::tcp::acceptor acceptor_;
};

/// A frame as the fault proxy knows it: four bytes of length (little-endian), then the content.
std::string frameOf(const std::string& content);

} // namespace lagoon::testsupport
