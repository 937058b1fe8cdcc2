#pragma once

#include "framework/types/time.h"
#include "ratelimits/types/serverlimit.h"

#include <cstddef>
#include <optional>

namespace lagoon::ratelimits {

/// A token bucket: permits come in at a rate that may change with each call, and few of them add up. Does no I/O and
/// reads no clock.
class PermitBucket {
public:
    /// Holds `available` permits at first. Holds none where another process may just have granted what there was.
    explicit PermitBucket(double available = 0)
        : available_(available)
    {
    }

    /// Adds the permits of the time since the last call.
    void refill(RequestRate, framework::SteadyTime now);
    /// Adds no permits for the time since the last call.
    void skip(framework::SteadyTime now) { refilledAt_ = now; }
    /// Returns false if there is no permit.
    [[nodiscard]] bool take();
    void giveBack(RequestRate);
    /// Time from the last refill until there are so many permits.
    framework::Milliseconds timeUntil(std::size_t permits, RequestRate) const;
    std::optional<framework::SteadyTime> refilledAt() const { return refilledAt_; }

private:
    double available_;
    std::optional<framework::SteadyTime> refilledAt_;
};

} // namespace lagoon::ratelimits
