#pragma once

#include "framework/types/ids.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>

namespace lagoon::http::testing {

/// The server's end of one connection, using a plain socket.
class RawServer {
public:
    RawServer()
        : acceptor_(context_, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
    }

    framework::Endpoint endpoint() const
    {
        return framework::Endpoint("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
    }
    void accept() { socket_.emplace(acceptor_.accept()); }
    /// Reads the next request's head, and the part of its body that arrives with it.
    std::string request()
    {
        std::string text;
        boost::asio::read_until(*socket_, boost::asio::dynamic_buffer(text), "\r\n\r\n");
        return text;
    }
    void send(const std::string& text) { boost::asio::write(*socket_, boost::asio::buffer(text)); }
    /// Returns false if the client has closed the connection.
    bool trySend(const std::string& text)
    {
        boost::system::error_code error;
        boost::asio::write(*socket_, boost::asio::buffer(text), error);
        return !error;
    }
    void close() { socket_->close(); }
    /// Passes the connection to the test, so that it stays open beside the next one.
    boost::asio::ip::tcp::socket release() { return std::move(*socket_); }
    void reset()
    {
        socket_->set_option(boost::asio::socket_base::linger(true, 0));
        socket_->close();
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::optional<boost::asio::ip::tcp::socket> socket_;
};

} // namespace lagoon::http::testing
