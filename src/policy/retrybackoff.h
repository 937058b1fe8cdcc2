#pragma once

#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::policy {

/// Exponential backoff with full jitter, which spreads the retries of many routers that failed at the same time.
struct RetryBackoff {
    framework::Milliseconds initial { 50 };
    framework::Milliseconds max { 5000 };

    /// Returns the wait before the retry after the `failures`-th failure, counted from 1. `random` is in [0, 1).
    framework::Milliseconds wait(std::uint32_t failures, double random) const;
};

} // namespace lagoon::policy
