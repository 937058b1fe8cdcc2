#pragma once

#include "framework/types/error.h"
#include "framework/types/time.h"
#include "http/bytebudget.h"

#include <cpprest/http_msg.h>
#include <cstddef>
#include <functional>
#include <string>

/// Include in .cpp files only.
namespace lagoon::callers {

struct BodyLimits {
    std::size_t bytes = 0;
    framework::Deadline deadline;
    /// Null if the body is read to its end and discarded.
    std::shared_ptr<http::ByteReservation> reservation;
};

/// Reads a request's body as it arrives and calls `done` once, from any thread: with the body, or as soon as the error
/// is known with `TooLarge`, `TooManyWaiting` (the total size of all bodies is at its limit), `DeadlinePassed` or
/// `CallerGone`. Replaces cpprest's `extract`, which limits neither size nor time. After an error the rest of the body
/// is read and discarded, and the caller of this function has to end the connection.
void readBody(const web::http::http_request&, BodyLimits, std::function<void(framework::Result<std::string>)> done);

/// Reads and discards the body of a refused request, since cpprest 2.10.18 sends a reply only after the whole body has
/// arrived. Ending the body early, by closing its stream with an error or by `_complete`, occasionally crashed the
/// process.
void discardBody(const web::http::http_request&);

} // namespace lagoon::callers
