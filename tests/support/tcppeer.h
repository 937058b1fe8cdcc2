#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

/// Blocking TCP sockets for tests of raw bytes.
namespace lagoon::testsupport {

/// One end of a TCP connection.
class TcpPeer {
public:
    explicit TcpPeer(boost::asio::ip::tcp::socket);
    /// Connects to `address:port`; throws std::runtime_error if the connection fails.
    explicit TcpPeer(const std::string& endpoint);

    void send(const std::string& bytes);
    /// Waits until `size` bytes were received or the connection has ended; returns fewer bytes only in the latter case.
    /// Throws std::runtime_error if neither happens in time.
    std::string receive(std::size_t size);
    /// Waits until the received bytes contain `end`, and returns them; fewer only if the connection has ended. Reads
    /// nothing behind `end`. Throws like `receive`.
    std::string receiveUntil(const std::string& end);
    /// Whether received bytes or the end of the connection can be read without waiting.
    bool hasInput();
    /// Waits for the end of the connection; false if a byte is received instead.
    bool reachesEnd() { return receive(1).empty(); }
    void close();
    /// Closes the connection by a reset.
    void reset();

private:
    boost::asio::ip::tcp::socket socket_;
};

/// Listens on a free port of the loopback interface.
class TcpServer {
public:
    TcpServer();
    std::string endpoint() const;
    /// Waits for a connection; throws std::runtime_error if none arrives in time.
    TcpPeer accept();
    /// Whether a connection can be accepted without waiting.
    bool hasConnection();

private:
    boost::asio::ip::tcp::acceptor acceptor_;
};

/// A frame in the format that the fault proxy parses: the content's length in four bytes (little-endian), then the
/// content.
std::string frameOf(const std::string& content);

} // namespace lagoon::testsupport
