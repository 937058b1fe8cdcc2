#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>

namespace lagoon::callers {

/// The limits of one router towards its callers. A request that exceeds one is refused at once, before it is
/// dispatched.
struct CallerLimits {
    /// Total size of the names and values of a request's headers, its path and its query.
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// Total size of the bodies of all requests in progress.
    std::size_t heldBodyBytes = 48 * 1024 * 1024;
    /// Maximum nesting depth of a completion's JSON.
    std::size_t jsonDepth = 32;
    /// Connections of callers, each of which takes about 64 KiB of memory. Above this number, or above half of the
    /// descriptors, one makes room for the next. More than `waitingRequests`, so that requests above those are refused
    /// rather than their connections closed.
    std::size_t connections = 2200;
    /// Requests whose answer has not started.
    std::size_t waitingRequests = 2000;
    /// Requests whose answer has not been sent completely.
    std::size_t requestsInProgress = 4000;
    /// Bytes of one answer that its caller has not read yet. An answer that exceeds this is broken off.
    std::size_t answerBacklogBytes = 8 * 1024 * 1024;
    /// From the first byte of a request to the end of its headers.
    framework::Milliseconds headerTimeout { 15000 };
    /// How long a connection without a request is kept open.
    framework::Milliseconds idleTimeout { 120000 };
    /// The time in which each `bodyProgressBytes` of an unfinished body have to arrive.
    framework::Milliseconds bodyProgressTimeout { 30000 };
    std::uint64_t bodyProgressBytes = 30 * 1024;
    /// The time in which a caller has to read each `answerProgressBytes` of its answers.
    framework::Milliseconds answerProgressTimeout { 60000 };
    std::uint64_t answerProgressBytes = 60 * 1024;
    /// The longest timeout that a caller may request; longer ones are reduced to it.
    framework::Milliseconds maxTimeout { 600000 };
};

} // namespace lagoon::callers
