#include "framework/tcpendpoint.h"

namespace lagoon::framework {

using boost::asio::ip::tcp;

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

Endpoint endpointOf(const tcp::endpoint& endpoint)
{
    return Endpoint(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()));
}

} // namespace lagoon::framework
