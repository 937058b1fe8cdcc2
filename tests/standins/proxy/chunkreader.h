#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace lagoon::standins {

using Socket = boost::asio::ip::tcp::socket;

/// How a stream is split into chunks: by what one read returns, or into frames, each of which has a length of four
/// bytes (little-endian) followed by that many bytes of content.
enum class Framing : std::uint8_t { None, LengthPrefix };

/// Blocks until the next chunk has been read. Returns an empty string at the end of the stream, and an incomplete frame
/// if the stream ends within it.
std::string readChunk(Socket&, Framing);

} // namespace lagoon::standins
