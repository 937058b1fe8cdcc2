#include "http/internal/socketoptions.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lagoon::http {

using boost::asio::ip::tcp;
using framework::Error;
using framework::ErrorCode;

framework::Result<tcp::endpoint> parseEndpoint(const framework::Endpoint& endpoint, const char* step)
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

void setLivenessOptions(tcp::socket& socket, framework::Milliseconds silence)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    const int milliseconds = static_cast<int>(silence.count());
    const int probeSeconds = 1;
    const int probes = std::max(1, milliseconds / 1000 - 1);
    // A kernel that knows none of these goes on without them: then only the caller's own deadlines hold.
    (void)setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    (void)setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probeSeconds, sizeof probeSeconds);
    (void)setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof probeSeconds);
    (void)setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace lagoon::http
