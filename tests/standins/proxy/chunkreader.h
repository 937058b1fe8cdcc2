#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace lagoon::standins {

using Socket = boost::asio::ip::tcp::socket;

/// What counts as one piece of a stream: whatever comes at once, or a frame of four bytes of length (little-endian)
/// and so many of content.
enum class Framing : std::uint8_t { None, LengthPrefix };

/// Blocks for the next piece; empty at the stream's end. A frame that ends early comes as it is.
std::string readChunk(Socket&, Framing);

} // namespace lagoon::standins
