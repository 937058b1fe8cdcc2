#pragma once

#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::policy {

/// Exponential backoff with full jitter: retries of many routers that failed together don't come back together.
struct RetryBackoff {
    framework::Milliseconds initial { 50 };
    framework::Milliseconds max { 5000 };

    /// The wait before the retry that follows `failures` (from 1); `random` in [0, 1).
    framework::Milliseconds wait(std::uint32_t failures, double random) const;
};

} // namespace lagoon::policy
