#include "support/tcppeer.h"

#include "support/waitfor.h"

#include <boost/asio/write.hpp>
#include <fcntl.h>
#include <poll.h>
#include <stdexcept>

namespace lagoon::testsupport {

using boost::asio::ip::tcp;

namespace {

boost::asio::io_context& sharedContext()
{
    static boost::asio::io_context context;
    return context;
}

bool isReadable(int descriptor, framework::Milliseconds timeout)
{
    pollfd entry { descriptor, POLLIN, 0 };
    return ::poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
}

tcp::endpoint parse(const std::string& endpoint)
{
    const std::size_t colon = endpoint.rfind(':');
    const auto address = boost::asio::ip::make_address(endpoint.substr(0, colon));
    return { address, static_cast<unsigned short>(std::stoul(endpoint.substr(colon + 1))) };
}

} // namespace

TcpPeer::TcpPeer(tcp::socket socket)
    : socket_(std::move(socket))
{
}

TcpPeer::TcpPeer(const std::string& endpoint)
    : socket_(sharedContext())
{
    socket_.connect(parse(endpoint));
    socket_.set_option(tcp::no_delay(true));
}

void TcpPeer::send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }

std::string TcpPeer::receive(std::size_t size)
{
    std::string bytes;
    while (bytes.size() < size) {
        if (!isReadable(socket_.native_handle(), conditionTimeout))
            throw std::runtime_error("timed out waiting for bytes or the end of the connection");
        std::string part(size - bytes.size(), '\0');
        boost::system::error_code error;
        part.resize(socket_.read_some(boost::asio::buffer(part), error));
        if (error)
            break;
        bytes += part;
    }
    return bytes;
}

std::string TcpPeer::receiveUntil(const std::string& end)
{
    std::string bytes;
    while (!bytes.ends_with(end)) {
        const std::string byte = receive(1);
        if (byte.empty())
            break;
        bytes += byte;
    }
    return bytes;
}

bool TcpPeer::hasInput() { return isReadable(socket_.native_handle(), framework::Milliseconds(0)); }

void TcpPeer::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void TcpPeer::reset()
{
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    close();
}

TcpServer::TcpServer()
    : acceptor_(sharedContext(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
{
    // Otherwise child processes would keep the port after the server is gone.
    ::fcntl(acceptor_.native_handle(), F_SETFD, FD_CLOEXEC);
}

std::string TcpServer::endpoint() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

TcpPeer TcpServer::accept()
{
    if (!isReadable(acceptor_.native_handle(), conditionTimeout))
        throw std::runtime_error("timed out waiting for a connection");
    tcp::socket socket = acceptor_.accept();
    socket.set_option(tcp::no_delay(true));
    return TcpPeer(std::move(socket));
}

bool TcpServer::hasConnection() { return isReadable(acceptor_.native_handle(), framework::Milliseconds(0)); }

std::string frameOf(const std::string& content)
{
    std::string frame;
    for (int shift = 0; shift < 32; shift += 8)
        frame.push_back(static_cast<char>((content.size() >> shift) & 0xff));
    return frame + content;
}

} // namespace lagoon::testsupport
