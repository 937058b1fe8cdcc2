#include "http/listener.h"

#include "framework/tcpendpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace lagoon::http {

namespace {

using boost::asio::ip::tcp;
using framework::Endpoint;
using framework::Error;
using framework::ErrorCode;
using web::http::experimental::listener::http_listener;

constexpr int maxPortAttempts = 20;

framework::Result<unsigned short> freePort(const std::string& address)
{
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(address, error);
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    const tcp::endpoint any(parsed, 0);
    if (!error)
        acceptor.open(any.protocol(), error);
    if (!error)
        acceptor.bind(any, error);
    if (error)
        return Error { ErrorCode::BadSettings, "find a free port", address, error.message() };
    return acceptor.local_endpoint().port();
}

/// Tries to bind the port, as cpprest reports only by a text why it can't.
framework::Result<void> checkPort(const Endpoint& endpoint)
{
    BOOST_OUTCOME_TRY(address, framework::parseTcpEndpoint(endpoint, "listen for HTTP"));
    boost::system::error_code error;
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    acceptor.open(address.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return framework::listenError("listen for HTTP", endpoint, error);
    return framework::success();
}

} // namespace

framework::Result<OpenListener> openListener(
    const Endpoint& endpoint, std::function<void(web::http::http_request)> handler)
{
    const std::string& text = endpoint.value();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return Error { ErrorCode::BadSettings, "listen for HTTP", text, "expected address:port" };
    const std::string address = text.substr(0, colon);
    const bool isAnyPort = text.substr(colon + 1) == "0";
    if (!isAnyPort) {
        BOOST_OUTCOME_TRYV(checkPort(endpoint));
    }
    std::string detail;
    for (int attempt = 0; attempt < (isAnyPort ? maxPortAttempts : 1); ++attempt) {
        std::string bound = text;
        if (isAnyPort) {
            BOOST_OUTCOME_TRY(port, freePort(address));
            bound = address + ":" + std::to_string(port);
        }
        try {
            auto listener = std::make_unique<http_listener>(web::uri("http://" + bound));
            listener->support(handler);
            listener->open().get();
            return OpenListener { std::move(listener), Endpoint(bound) };
        } catch (const std::exception& exception) {
            detail = exception.what();
        }
    }
    return Error { ErrorCode::BadSettings, "listen for HTTP", text, detail };
}

} // namespace lagoon::http
