#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lagoon::http {

/// An `http://` URL as operators state it.
struct Url {
    /// The host, which may be a name, and the port.
    framework::Endpoint endpoint;
    /// Precedes the path of each request; empty if the URL has none.
    std::string path;
};

/// The text has to be a valid URL. Without a port it is that of HTTP.
Url parseUrl(const std::string& text);

} // namespace lagoon::http
