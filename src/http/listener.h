#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <cpprest/http_listener.h>
#include <functional>
#include <memory>

/// Extensions of cpprest's listener. Include in .cpp files only.
namespace lagoon::http {

struct OpenListener {
    std::unique_ptr<web::http::experimental::listener::http_listener> listener;
    framework::Endpoint endpoint;
};

/// Opens a listener for all methods. cpprest treats port 0 as 80, so this finds a free port first, and retries with
/// another one if that port has been taken in the meantime.
framework::Result<OpenListener> openListener(
    const framework::Endpoint&, std::function<void(web::http::http_request)> handler);

} // namespace lagoon::http
