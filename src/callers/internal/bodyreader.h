#pragma once

#include "callers/internal/bodybudget.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

#include <cpprest/http_msg.h>
#include <cstddef>
#include <functional>
#include <string>

/// Include in .cpp files only.
namespace lagoon::callers {

struct BodyLimits {
    std::size_t bytes = 0;
    framework::Deadline deadline;
    /// Null for a body that is only read to its end and dropped.
    std::shared_ptr<BodyReservation> reservation;
};

/// Reads a request's body as it arrives and calls `done` once, from any thread: with the body, or as soon as it is
/// known with `TooLarge`, `TooManyWaiting` (the budget of all bodies is spent), `DeadlinePassed` or `CallerGone`. In
/// place of cpprest's own `extract`, which has no limit in size or time. After an error the rest is
/// read and dropped: end the connection.
void readBody(const web::http::http_request&, BodyLimits, std::function<void(framework::Result<std::string>)> done);

/// Reads the body of a refused request and drops it. cpprest 2.10.18 sends a reply only after the whole body. To end
/// the body early, by closing its stream with an error or by `_complete`, crashed the process now and then.
void discardBody(const web::http::http_request&);

} // namespace lagoon::callers
