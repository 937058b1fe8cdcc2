#include "http/internal/socketoptions.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lagoon::http {

using boost::asio::ip::tcp;

namespace {

/// The kernel doubles it for its own overhead. It is enough for 1 MB/s at a round trip of 100 ms.
constexpr int sendBufferBytes = 64 * 1024;

} // namespace

void limitSendBuffers(tcp::acceptor& acceptor)
{
    boost::system::error_code ignored;
    acceptor.set_option(boost::asio::socket_base::send_buffer_size(sendBufferBytes), ignored);
}

void setReceiveBuffer(tcp::acceptor& acceptor, std::size_t bytes)
{
    boost::system::error_code ignored;
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
}

void setReceiveBuffer(tcp::socket& socket, std::size_t bytes)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
}

void setLivenessOptions(tcp::socket& socket, framework::Milliseconds unresponsiveTimeout)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    const int milliseconds = static_cast<int>(unresponsiveTimeout.count());
    const int probeSeconds = 1;
    const int probes = std::max(1, milliseconds / 1000 - 1);
    // Errors are ignored: on a kernel without these options, only the deadlines of the code that uses the socket apply.
    (void)setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
    (void)setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probeSeconds, sizeof probeSeconds);
    (void)setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof probeSeconds);
    (void)setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace lagoon::http
