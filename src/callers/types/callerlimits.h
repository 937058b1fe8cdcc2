#pragma once

#include "framework/types/time.h"

#include <cstddef>

namespace lagoon::callers {

/// What one router takes from its callers. Each is refused at once past its limit, before any of it is dispatched.
struct CallerLimits {
    /// Names and values of a request's headers, with its path and query.
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// Bodies of all requests in progress together.
    std::size_t heldBodyBytes = 256 * 1024 * 1024;
    /// Nesting of a completion's JSON.
    std::size_t jsonDepth = 32;
    /// Requests that have no answer yet.
    std::size_t waitingRequests = 2000;
    /// Requests whose answer hasn't left wholly. Stands in for a limit on connections, which cpprest doesn't show.
    std::size_t requestsInProgress = 4000;
    /// Bytes of one answer that its caller hasn't taken yet; past it the answer is broken off.
    std::size_t answerBacklogBytes = 8 * 1024 * 1024;
    /// The longest deadline a caller may ask for; a longer one is cut to it.
    framework::Milliseconds maxTimeout { 600000 };
};

} // namespace lagoon::callers
