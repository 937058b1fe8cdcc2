#pragma once

#include "framework/types/ids.h"
#include "framework/types/processidentity.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>

namespace lagoon::router {

/// Numbers of a router's dispatch, from the section `dispatch` of its settings.
struct DispatchSettings {
    /// Requests that wait for a replica; more are refused at once.
    std::size_t waitingRequests = 10000;
    /// A link with work in flight from which nothing came for this long is given up for a new one.
    framework::Milliseconds silenceLimit { 2000 };
    framework::Milliseconds pingInterval { 500 };
    /// A link without work is closed after this.
    framework::Milliseconds idleLimit { 60000 };
    /// After this many retries per request none is tried.
    std::uint32_t attempts = 4;
    /// Retries earned per request, and how many may be saved up.
    double retryShare = 0.1;
    double retryReserve = 20;
    /// In-flight requests of this router per replica above which another replica is asked for.
    std::uint32_t scaleUpInFlight = 8;
    /// Agents asked for a bid per load, beside those known to have the target.
    std::size_t bids = 8;
    framework::Milliseconds bidTimeout { 500 };
    /// How long an idempotency key is kept at least.
    framework::Milliseconds keyRetention { 3600000 };
};

} // namespace lagoon::router
