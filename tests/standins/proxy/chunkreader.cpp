#include "standins/proxy/chunkreader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>

namespace lagoon::standins {

namespace {

constexpr std::size_t readBufferBytes = 65536;
constexpr std::size_t lengthPrefixBytes = 4;
/// Far above the size of any frame of the wire protocol. A longer length means that the stream has no frames.
constexpr std::size_t maxFrameBytes = 64 * 1024 * 1024;

std::size_t lengthOf(const std::string& bytes)
{
    std::size_t length = 0;
    for (std::size_t at = 0; at < lengthPrefixBytes; ++at)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[at])) << (8 * at);
    return std::min(length, maxFrameBytes);
}

/// Appends `size` bytes, or fewer if the stream ends before. Returns the number of bytes appended.
std::size_t append(Socket& socket, std::string& bytes, std::size_t size)
{
    const std::size_t before = bytes.size();
    bytes.resize(before + size);
    boost::system::error_code error;
    const std::size_t count = boost::asio::read(socket, boost::asio::buffer(bytes.data() + before, size), error);
    bytes.resize(before + count);
    return count;
}

} // namespace

std::string readChunk(Socket& socket, Framing framing)
{
    std::string bytes;
    if (framing == Framing::LengthPrefix) {
        if (append(socket, bytes, lengthPrefixBytes) == lengthPrefixBytes)
            append(socket, bytes, lengthOf(bytes));
        return bytes;
    }
    bytes.resize(readBufferBytes);
    boost::system::error_code error;
    bytes.resize(socket.read_some(boost::asio::buffer(bytes), error));
    return bytes;
}

} // namespace lagoon::standins
