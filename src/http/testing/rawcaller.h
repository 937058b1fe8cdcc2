#pragma once

#include "framework/types/ids.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace lagoon::http::testing {

/// A caller that uses a plain socket, and so sees what an HTTP library would hide, such as a missing last chunk.
class RawCaller {
public:
    explicit RawCaller(const framework::Endpoint& endpoint)
        : socket_(context_)
    {
        const std::string& text = endpoint.value();
        const std::size_t colon = text.rfind(':');
        const auto port = static_cast<unsigned short>(std::stoul(text.substr(colon + 1)));
        socket_.connect({ boost::asio::ip::make_address(text.substr(0, colon)), port });
    }

    /// Returns false if the other side has closed the connection.
    bool send(const std::string& text)
    {
        boost::system::error_code error;
        boost::asio::write(socket_, boost::asio::buffer(text), error);
        return !error;
    }

    /// Reads until the received bytes contain `text`. Returns false if the connection ends before that.
    bool readUntil(const std::string& text)
    {
        while (received_.find(text) == std::string::npos) {
            if (!readSome())
                return false;
        }
        return true;
    }

    /// Reads until the connection ends, and returns all received bytes.
    const std::string& readToEnd()
    {
        while (readSome()) { }
        return received_;
    }

    /// Returns whether the other side reset the connection, which cannot be mistaken for the end of an answer.
    bool wasReset() const { return end_ == boost::asio::error::connection_reset; }
    const std::string& received() const { return received_; }
    void clearReceived() { received_.clear(); }
    void disconnect() { socket_.close(); }

private:
    bool readSome()
    {
        char buffer[16 * 1024];
        boost::system::error_code error;
        const std::size_t size = socket_.read_some(boost::asio::buffer(buffer), error);
        received_.append(buffer, size);
        end_ = error;
        return !error;
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string received_;
    boost::system::error_code end_;
};

} // namespace lagoon::http::testing
