#pragma once

#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::policy {

/// The mean of what was seen lately: each new duration counts for a sixteenth. Without I/O or clock.
class MeanDuration {
public:
    /// `assumed` until something has been seen.
    explicit MeanDuration(framework::Milliseconds assumed)
        : milliseconds_(static_cast<double>(assumed.count()))
    {
    }

    void add(framework::Milliseconds seen)
    {
        constexpr double weight = 1.0 / 16;
        milliseconds_ += weight * (static_cast<double>(seen.count()) - milliseconds_);
    }

    framework::Milliseconds mean() const { return framework::Milliseconds(static_cast<std::int64_t>(milliseconds_)); }

private:
    double milliseconds_;
};

} // namespace lagoon::policy
