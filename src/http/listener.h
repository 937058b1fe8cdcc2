#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <cpprest/http_listener.h>
#include <functional>
#include <memory>

/// cpprest's listener with what it lacks. Include in .cpp files only.
namespace lagoon::http {

struct OpenListener {
    std::unique_ptr<web::http::experimental::listener::http_listener> listener;
    framework::Endpoint endpoint;
};

/// Opens a listener for all methods. cpprest takes port 0 for 80, so a free port is found first and, if someone took
/// it meanwhile, another.
framework::Result<OpenListener> openListener(
    const framework::Endpoint&, std::function<void(web::http::http_request)> handler);

} // namespace lagoon::http
