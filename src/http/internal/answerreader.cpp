#include "http/internal/answerreader.h"

#include "http/internal/messagereader.h"

#include <optional>
#include <utility>

namespace lagoon::http {

namespace {

namespace beast = boost::beast;

/// Effectively unlimited, since bodies are forwarded piece by piece. Beast 1.74 refuses every answer that has a length
/// if the limit is switched off.
constexpr std::uint64_t maxBodyBytes = 1ULL << 40;
constexpr unsigned switchingProtocols = 101;
constexpr std::string_view lengthField = "Content-Length";
constexpr std::string_view codingField = "Transfer-Encoding";

/// The status line or the name of the field that the bytes begin with. A field's value may be secret.
std::string_view lineBegin(std::string_view bytes) { return bytes.substr(0, bytes.find_first_of(":\n")); }

/// Returns the field that a line continues (`obs-fold` in RFC 9112), which Beast joins to one; std::nullopt if there is
/// none.
std::optional<std::string_view> foldedField(std::string_view lines)
{
    const std::string_view lineEnd = "\r\n";
    std::size_t begin = 0;
    for (std::size_t end = lines.find(lineEnd); end != std::string_view::npos; end = lines.find(lineEnd, begin)) {
        const std::size_t next = end + lineEnd.size();
        if (next < lines.size() && (lines[next] == ' ' || lines[next] == '\t'))
            return lines.substr(begin, end - begin);
        begin = next;
    }
    return std::nullopt;
}

bool isLength(std::string_view value)
{
    return !value.empty() && value.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Returns the first fields that say where the body ends, with their values.
std::string framingText(const Headers& headers)
{
    constexpr std::size_t maxFields = 2;
    std::string text;
    std::size_t fields = 0;
    for (const HeaderField& field : headers.fields()) {
        if (!equalsIgnoringCase(field.name, lengthField) && !equalsIgnoringCase(field.name, codingField))
            continue;
        if (++fields <= maxFields)
            text += (text.empty() ? "" : ", ") + field.name + " " + quotedBeginning(field.value);
    }
    return text;
}

} // namespace

AnswerReader::AnswerReader(bool isBodyless, MessageOverhead& overhead)
    : overhead_(overhead)
{
    // Each call of `put` then stops at the end of the head and of each chunk, so that its bytes can be checked.
    parser_.eager(false);
    parser_.header_limit(maxHeadBytes);
    parser_.body_limit(maxBodyBytes);
    parser_.skip(isBodyless);
    overhead_.countChunks(parser_);
}

std::size_t AnswerReader::put(boost::asio::const_buffer bytes)
{
    const bool isInHead = !parser_.is_header_done();
    const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
    boost::system::error_code error;
    const std::size_t bodyBefore = parser_.get().body().size();
    const std::size_t parsed = parser_.put(bytes, error);
    overhead_.didParse(parsed);
    overhead_.didReadBody(parser_.get().body().size() - bodyBefore);
    needsMore_ = error == beast::http::error::need_more;
    if (error && !needsMore_)
        fault_ = { error.message(), isInHead ? quotedBeginning(lineBegin(text.substr(parsed))) : "" };
    else if (isInHead || isLastChunk())
        checkLines(text.substr(0, parsed));
    if (!fault_ && isInHead && parser_.is_header_done())
        didReadHead();
    return parsed;
}

/// Whether the bytes parsed last were the last chunk, which has no data, and the trailers.
bool AnswerReader::isLastChunk() const { return parser_.is_done() && parser_.chunked(); }

void AnswerReader::checkLines(std::string_view lines)
{
    if (const auto field = foldedField(lines))
        fault_ = { "folded line", quotedBeginning(lineBegin(*field)) };
}

void AnswerReader::didReadHead()
{
    const auto& header = parser_.get().base();
    head_ = { header.result_int(), std::string(header.reason()), headersOf(header) };
    // Nobody asks for another protocol.
    const bool isSoundInterim = head_.status >= 100 && head_.status < 200 && head_.status != switchingProtocols;
    if (!isSoundInterim)
        fault_ = statusFault(head_.status);
    if (!fault_ && !isFramingSound())
        fault_ = { "bad framing", framingText(head_.headers) };
}

/// Beast takes an answer whose codings it doesn't know, or whose last one isn't `chunked`, for one that ends with its
/// connection, and accepts lists of equal lengths.
bool AnswerReader::isFramingSound() const
{
    const auto length = head_.headers.find(lengthField);
    const bool isVersion10 = parser_.get().version() < 11;
    return hasSingleFraming(head_.headers) && (!length || isLength(*length))
        && !(isVersion10 && head_.headers.find(codingField));
}

std::string AnswerReader::takeBody() { return std::exchange(parser_.get().body(), {}); }

} // namespace lagoon::http
