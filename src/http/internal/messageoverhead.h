#pragma once

#include <cstddef>
#include <cstdint>

namespace lagoon::http {

/// Counts the bytes of a message that aren't its body: start lines, fields, chunk sizes and extensions, trailers and
/// interim answers. Beast limits the head alone; it keeps a chunk's extension and the trailers until they are complete.
class MessageOverhead {
public:
    void didParse(std::uint64_t bytes) { parsed_ += bytes; }
    void didReadBody(std::uint64_t bytes) { body_ += bytes; }
    void didReadChunkHeader() { ++chunks_; }
    /// `unparsed` are the bytes that were received and aren't complete enough to be parsed.
    bool isOver(std::uint64_t limit, std::size_t unparsed) const
    {
        return parsed_ + unparsed > body_ + limit + chunks_ * bytesPerChunk;
    }

private:
    /// Enough for the size and the line ends of a chunk, so that a body may have any number of chunks.
    static constexpr std::uint64_t bytesPerChunk = 32;

    std::uint64_t parsed_ = 0;
    std::uint64_t body_ = 0;
    std::uint64_t chunks_ = 0;
};

} // namespace lagoon::http
