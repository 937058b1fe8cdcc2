#pragma once

#include "framework/types/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace lagoon::objectstore {

/// Waits between tries: they double up to a limit, and each is drawn from the upper half of its range, so that
/// processes which failed together don't come back together.
class Backoff {
public:
    Backoff(framework::Milliseconds initialDelay, framework::Milliseconds maxDelay, std::uint64_t seed);

    /// The wait before the next try. `retryAfter` is what the other side asked for: the wait is never shorter.
    framework::Milliseconds next(std::optional<framework::Milliseconds> retryAfter = std::nullopt);
    /// After a success.
    void reset() { currentDelay_ = initialDelay_; }

private:
    framework::Milliseconds initialDelay_;
    framework::Milliseconds maxDelay_;
    framework::Milliseconds currentDelay_;
    std::mt19937_64 random_;
};

} // namespace lagoon::objectstore
