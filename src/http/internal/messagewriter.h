#pragma once

#include "http/types/message.h"

#include <string>
#include <string_view>

namespace lagoon::http {

/// Serializes a head, including the final empty line. The headers must already contain the framing fields.
std::string headText(const Request&);
std::string headText(const ResponseHead&);
/// Serializes one chunk of a chunked body. Returns an empty string for an empty piece, which would end the body.
std::string chunkText(std::string_view piece);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace lagoon::http
