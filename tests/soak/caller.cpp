#include "soak/caller.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <sys/socket.h>

namespace lagoon::soak {

namespace {

/// A router that was stopped answers nothing; its caller gives up, as real ones do.
constexpr timeval patience { 4, 0 };

} // namespace

bool Caller::connect(const std::string& endpoint)
{
    using boost::asio::ip::tcp;
    const std::size_t colon = endpoint.rfind(':');
    const tcp::endpoint address(boost::asio::ip::make_address(endpoint.substr(0, colon)),
        static_cast<unsigned short>(std::stoul(endpoint.substr(colon + 1))));
    socket_.emplace(context_);
    buffer_.clear();
    endpoint_ = endpoint;
    boost::system::error_code error;
    socket_->connect(address, error);
    if (error)
        return false;
    (void)setsockopt(socket_->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    return true;
}

Outcome Caller::call(const std::string& endpoint, const std::string& text)
{
    namespace http = boost::beast::http;
    Outcome outcome;
    if ((!socket_ || endpoint_ != endpoint) && !connect(endpoint)) {
        socket_.reset();
        return outcome;
    }
    boost::system::error_code error;
    boost::asio::write(*socket_, boost::asio::buffer(text), error);
    http::response_parser<http::string_body> parser;
    if (!error)
        http::read(*socket_, buffer_, parser, error);
    if (parser.is_header_done()) {
        outcome.status = static_cast<int>(parser.get().result_int());
        outcome.body = parser.get().body();
        outcome.isWhole = !error && parser.is_done();
    }
    if (error || !parser.get().keep_alive())
        socket_.reset();
    return outcome;
}

} // namespace lagoon::soak
