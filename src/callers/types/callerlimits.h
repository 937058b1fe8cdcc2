#pragma once

#include "framework/types/time.h"

#include <cstddef>

namespace lagoon::callers {

/// The limits of one router towards its callers. A request that exceeds one is refused at once, before it is
/// dispatched.
struct CallerLimits {
    /// Total size of the names and values of a request's headers, its path and its query.
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// Total size of the bodies of all requests in progress.
    std::size_t heldBodyBytes = 256 * 1024 * 1024;
    /// Maximum nesting depth of a completion's JSON.
    std::size_t jsonDepth = 32;
    /// Requests whose answer has not started.
    std::size_t waitingRequests = 2000;
    /// Requests whose answer has not been sent completely. This replaces a limit on connections, which cpprest does not
    /// expose.
    std::size_t requestsInProgress = 4000;
    /// Bytes of one answer that its caller has not read yet. An answer that exceeds this is broken off.
    std::size_t answerBacklogBytes = 8 * 1024 * 1024;
    /// The longest timeout that a caller may request; longer ones are reduced to it.
    framework::Milliseconds maxTimeout { 600000 };
};

} // namespace lagoon::callers
