#include "http/internal/messagereader.h"

namespace lagoon::http {

Headers headersOf(const boost::beast::http::fields& fields)
{
    Headers headers;
    for (const auto& field : fields)
        headers.add(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

/// Prevents request smuggling: a peer that uses another of the framings than this server would see two requests where
/// this server sees one. Beast refuses most spellings of a length together with chunks, but accepts a repeated length.
bool hasSingleFraming(const Headers& headers)
{
    const std::size_t lengths = headers.count("Content-Length");
    const std::size_t codings = headers.count("Transfer-Encoding");
    if (lengths + codings > 1)
        return false;
    return codings == 0 || equalsIgnoringCase(*headers.find("Transfer-Encoding"), "chunked");
}

} // namespace lagoon::http
