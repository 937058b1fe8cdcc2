#include "http/url.h"

#include <cpprest/base_uri.h>

namespace lagoon::http {

Url parseUrl(const std::string& text)
{
    constexpr int httpPort = 80;
    const web::uri uri(text);
    const int port = uri.port() > 0 ? uri.port() : httpPort;
    std::string path = uri.path();
    if (path.ends_with('/'))
        path.pop_back();
    return { framework::Endpoint(uri.host() + ":" + std::to_string(port)), std::move(path) };
}

} // namespace lagoon::http
