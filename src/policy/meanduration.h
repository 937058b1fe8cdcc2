#pragma once

#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::policy {

/// Exponential moving average of durations: each new duration has a weight of one sixteenth. Has no I/O and no clock.
class MeanDuration {
public:
    /// `assumed` is the mean until the first duration is added.
    explicit MeanDuration(framework::Milliseconds assumed)
        : milliseconds_(static_cast<double>(assumed.count()))
    {
    }

    void add(framework::Milliseconds duration)
    {
        constexpr double weight = 1.0 / 16;
        milliseconds_ += weight * (static_cast<double>(duration.count()) - milliseconds_);
    }

    framework::Milliseconds mean() const { return framework::Milliseconds(static_cast<std::int64_t>(milliseconds_)); }

private:
    double milliseconds_;
};

} // namespace lagoon::policy
