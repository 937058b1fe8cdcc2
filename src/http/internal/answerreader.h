#pragma once

#include "http/answerfault.h"
#include "http/internal/growingbody.h"
#include "http/internal/messageoverhead.h"
#include "http/types/message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoon::http {

/// Reads one answer with Beast's parser, and refuses what that parser accepts although it isn't HTTP/1.1.
class AnswerReader {
public:
    /// Servers send small heads. A larger one is a malformed answer.
    static constexpr std::uint32_t maxHeadBytes = 64 * 1024;

    /// `isBodyless`: the answer has no body whatever its head says, as it is for a `HEAD` request. The overhead counts
    /// the bytes that aren't body, and has to outlive this object.
    AnswerReader(bool isBodyless, MessageOverhead&);

    /// Reads the next bytes and returns how many were taken. The rest is to be passed again, with more bytes if
    /// `needsMore` says so.
    std::size_t put(boost::asio::const_buffer bytes);
    bool needsMore() const { return needsMore_; }
    /// What is malformed; std::nullopt as long as nothing is. Nothing of the answer can be used then.
    const std::optional<AnswerFault>& fault() const { return fault_; }

    bool isHeadDone() const { return parser_.is_header_done(); }
    /// Valid once the head is done.
    const ResponseHead& head() const { return head_; }
    bool isInterim() const { return head_.status < 200; }
    /// Returns the part of the body that was read since the last call.
    std::string takeBody();
    bool isDone() const { return parser_.is_done(); }
    bool canKeepConnection() const { return parser_.get().keep_alive(); }
    /// Whether the body ends where the connection does.
    bool endsWithConnection() const { return parser_.need_eof(); }

private:
    void checkLines(std::string_view);
    void didReadHead();
    bool isLastChunk() const;
    bool isFramingSound() const;

    boost::beast::http::response_parser<GrowingBody> parser_;
    MessageOverhead& overhead_;
    ResponseHead head_;
    bool needsMore_ = false;
    std::optional<AnswerFault> fault_;
};

} // namespace lagoon::http
