#include "http/internal/messagewriter.h"

#include <array>
#include <cstdio>

namespace lagoon::http {

namespace {

void appendFields(std::string& text, const Headers& headers)
{
    for (const HeaderField& field : headers.fields())
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    text.append("\r\n");
}

} // namespace

std::string headText(const Request& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    appendFields(text, request.headers);
    return text;
}

std::string headText(const ResponseHead& head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(head.reason.empty() ? reasonText(head.status) : head.reason).append("\r\n");
    appendFields(text, head.headers);
    return text;
}

std::string chunkText(std::string_view piece)
{
    if (piece.empty())
        return {};
    std::array<char, 24> length {};
    std::snprintf(length.data(), length.size(), "%zx\r\n", piece.size());
    return std::string(length.data()).append(piece).append("\r\n");
}

} // namespace lagoon::http
