#pragma once

#include "http/types/message.h"

#include <string>
#include <string_view>

namespace lagoon::http {

/// The head up to and with the empty line. Framing fields have to be in the headers already.
std::string headText(const Request&);
std::string headText(const ResponseHead&);
/// One chunk of a chunked body; nothing for an empty piece, which would end the body.
std::string chunkText(std::string_view piece);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace lagoon::http
