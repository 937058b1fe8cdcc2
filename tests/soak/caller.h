#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <string>

namespace lagoon::soak {

/// What became of one request, as its caller sees it.
struct Outcome {
    /// 0 without an answer's head.
    int status = 0;
    std::string body;
    bool isWhole = false;
};

/// A caller that keeps its connection for the next request until it ends.
class Caller {
public:
    /// Sends the text to the endpoint and reads the answer.
    Outcome call(const std::string& endpoint, const std::string& text);

private:
    bool connect(const std::string& endpoint);

    boost::asio::io_context context_;
    std::optional<boost::asio::ip::tcp::socket> socket_;
    boost::beast::flat_buffer buffer_;
    std::string endpoint_;
};

} // namespace lagoon::soak
