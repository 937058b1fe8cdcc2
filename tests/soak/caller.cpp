#include "soak/caller.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace lagoon::soak {

namespace {

namespace beast = boost::beast;

/// For a connection to a process on the same machine.
constexpr framework::Milliseconds connectTimeout { 1000 };

EndReason endReasonOf(const boost::system::error_code& error)
{
    if (!error)
        return EndReason::Answered;
    return error == beast::error::timeout ? EndReason::TimedOut : EndReason::Closed;
}

} // namespace

Caller::Caller(framework::Milliseconds timeout)
    : timeout_(timeout)
{
}

void Caller::runToCompletion()
{
    context_.restart();
    context_.run();
}

bool Caller::connect(const std::string& endpoint)
{
    using boost::asio::ip::tcp;
    const std::size_t colon = endpoint.rfind(':');
    const tcp::endpoint address(boost::asio::ip::make_address(endpoint.substr(0, colon)),
        static_cast<unsigned short>(std::stoul(endpoint.substr(colon + 1))));
    buffer_.clear();
    stream_.emplace(context_);
    boost::system::error_code failure;
    stream_->expires_after(connectTimeout);
    stream_->async_connect(address, [&failure](const boost::system::error_code& error) { failure = error; });
    runToCompletion();
    if (failure)
        stream_.reset();
    return !failure;
}

Outcome Caller::call(const std::string& text)
{
    namespace http = beast::http;
    Outcome outcome;
    if (!stream_)
        return outcome;
    boost::system::error_code failure;
    http::response_parser<http::string_body> parser;
    outcome.sentAt = std::chrono::steady_clock::now();
    stream_->expires_after(timeout_);
    // A failed write is ignored: the router may answer before it has read the whole request.
    boost::asio::async_write(*stream_, boost::asio::buffer(text), [](const boost::system::error_code&, std::size_t) {});
    http::async_read(*stream_, buffer_, parser,
        [&failure](const boost::system::error_code& error, std::size_t) { failure = error; });
    runToCompletion();
    outcome.endedAt = std::chrono::steady_clock::now();
    outcome.endReason = endReasonOf(failure);
    if (parser.is_header_done()) {
        outcome.status = static_cast<int>(parser.get().result_int());
        outcome.body = parser.get().body();
    }
    if (failure || !parser.get().keep_alive())
        close();
    return outcome;
}

} // namespace lagoon::soak
