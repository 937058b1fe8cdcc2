#pragma once

#include "framework/types/error.h"
#include "framework/types/time.h"

#include <cpprest/http_msg.h>
#include <cstddef>
#include <functional>
#include <string>

/// Include in .cpp files only.
namespace lagoon::callers {

struct BodyBounds {
    std::size_t bytes = 0;
    framework::Deadline deadline;
};

/// Reads a request's body as it arrives and calls `done` once, from any thread: with the body, with `TooLarge` as soon
/// as it is seen to pass the bound, with `DeadlinePassed`, or with `CallerGone`. In place of cpprest's own `extract`,
/// which has no limit in size or time. After an error the rest of the body isn't read: end the connection.
void readBody(const web::http::http_request&, BodyBounds, std::function<void(framework::Result<std::string>)> done);

} // namespace lagoon::callers
