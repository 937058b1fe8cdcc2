#include "http/internal/messagereader.h"

namespace lagoon::http {

Headers headersOf(const boost::beast::http::fields& fields)
{
    Headers headers;
    for (const auto& field : fields)
        headers.add(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

} // namespace lagoon::http
