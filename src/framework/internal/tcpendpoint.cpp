#include "framework/tcpendpoint.h"

namespace lagoon::framework {

using boost::asio::ip::tcp;

namespace {

constexpr Milliseconds listenRetryDelay { 50 };

/// An address isn't available until its network interface is up.
bool isTransient(const boost::system::error_code& error)
{
    namespace asio = boost::asio::error;
    return error == asio::address_in_use || error == boost::system::errc::address_not_available
        || error == asio::no_descriptors || error == asio::no_buffer_space || error == asio::no_memory;
}

} // namespace

Result<tcp::endpoint> parseTcpEndpoint(const Endpoint& endpoint, const char* step)
{
    const std::string& text = endpoint.value();
    const std::size_t colon = text.rfind(':');
    const auto fault = [&] {
        return Error { ErrorCode::BadSettings, step, text, "expected address:port with a numeric address" };
    };
    if (colon == std::string::npos || colon + 1 == text.size() || text.size() - colon > 6)
        return fault();
    unsigned long port = 0;
    for (const char digit : text.substr(colon + 1)) {
        if (digit < '0' || digit > '9')
            return fault();
        port = port * 10 + static_cast<unsigned long>(digit - '0');
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    if (error || port > 65535)
        return fault();
    return tcp::endpoint(address, static_cast<unsigned short>(port));
}

Error listenError(const char* step, const Endpoint& endpoint, const boost::system::error_code& cause)
{
    Error error { ErrorCode::BadSettings, step, endpoint.value(), cause.message() };
    if (isTransient(cause))
        error.retryAfter = listenRetryDelay;
    return error;
}

Endpoint endpointOf(const tcp::endpoint& endpoint)
{
    return Endpoint(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
}

} // namespace lagoon::framework
