#pragma once

#include "framework/types/ids.h"
#include "framework/types/processidentity.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>

namespace lagoon::router {

/// Dispatch settings of a router, from the section `dispatch` of its settings.
struct DispatchSettings {
    /// Maximum number of requests that wait for a replica; further requests are refused at once.
    std::size_t waitingRequests = 10000;
    /// A link with work in flight that delivers nothing for this long is replaced by a new one.
    framework::Milliseconds silenceLimit { 2000 };
    framework::Milliseconds pingInterval { 500 };
    /// A link without work is closed after this time.
    framework::Milliseconds idleLimit { 60000 };
    /// Maximum number of attempts per request, including the first.
    std::uint32_t attempts = 4;
    /// Retry budget: retries earned per accepted request, and the maximum number that may accumulate.
    double retryShare = 0.1;
    double retryReserve = 20;
    /// This router requests another replica of a target once it has this many requests in flight at one replica.
    std::uint32_t scaleUpInFlight = 8;
    /// Number of agents asked for a bid per round, in addition to those known to serve the target.
    std::size_t bids = 8;
    framework::Milliseconds bidTimeout { 500 };
    /// Minimum time for which an idempotency key is kept.
    framework::Milliseconds keyRetention { 3600000 };
};

} // namespace lagoon::router
