#pragma once

#include <boost/beast/core/string_type.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace lagoon::http {

/// Counts the bytes of a message that aren't its body: start lines, fields, chunk sizes and extensions, trailers and
/// interim answers. Beast limits the head alone; it keeps a chunk's extension and the trailers until they are complete.
class MessageOverhead {
public:
    MessageOverhead()
        : didReadChunkHeader_(
            [this](std::uint64_t, boost::beast::string_view, boost::system::error_code&) { ++chunks_; })
    {
    }
    MessageOverhead(const MessageOverhead&) = delete;
    MessageOverhead& operator=(const MessageOverhead&) = delete;

    /// Counts the chunks that the parser reads. This object has to outlive the parser.
    template <typename Parser> void countChunks(Parser& parser) { parser.on_chunk_header(didReadChunkHeader_); }
    void reset() { parsed_ = body_ = chunks_ = 0; }
    void didParse(std::uint64_t bytes) { parsed_ += bytes; }
    void didReadBody(std::uint64_t bytes) { body_ += bytes; }
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
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code&)> didReadChunkHeader_;
};

} // namespace lagoon::http
