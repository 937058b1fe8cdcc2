#pragma once

#include "framework/types/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace lagoon::objectstore {

/// Exponential backoff with jitter. The delay doubles up to a limit, and each wait is drawn at random from the upper
/// half of the current delay, so that processes whose calls failed at the same time don't retry at the same time.
class Backoff {
public:
    Backoff(framework::Milliseconds initialDelay, framework::Milliseconds maxDelay, std::uint64_t seed);

    /// Returns the wait before the next attempt. It is never shorter than `retryAfter`, the wait that the server asked
    /// for.
    framework::Milliseconds next(std::optional<framework::Milliseconds> retryAfter = std::nullopt);
    /// Returns to the initial delay; called after a success.
    void reset() { currentDelay_ = initialDelay_; }

private:
    framework::Milliseconds initialDelay_;
    framework::Milliseconds maxDelay_;
    framework::Milliseconds currentDelay_;
    std::mt19937_64 random_;
};

} // namespace lagoon::objectstore
