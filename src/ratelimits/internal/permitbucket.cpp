#include "ratelimits/permitbucket.h"

#include <algorithm>
#include <cmath>

namespace lagoon::ratelimits {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;
using Seconds = std::chrono::duration<double>;

/// Permits that were not asked for add up to those of this time, but at least to one.
constexpr Seconds maxBurstTime { 0.1 };
/// Longer than any request waits; a rate of 0 takes forever.
constexpr Milliseconds maxTime { 3600 * 1000 };
/// Sums of fractions don't quite add up.
constexpr double tolerance = 1e-6;

double maxAvailable(RequestRate rate) { return std::max(1.0, rate.value() * maxBurstTime.count()); }

} // namespace

void PermitBucket::refill(RequestRate rate, SteadyTime now)
{
    const Seconds passed = refilledAt_ ? now - *refilledAt_ : SteadyTime::duration(0);
    refilledAt_ = now;
    available_ = std::min(maxAvailable(rate), available_ + std::max(0.0, passed.count()) * rate.value());
}

bool PermitBucket::take()
{
    if (available_ < 1 - tolerance)
        return false;
    available_ = std::max(0.0, available_ - 1);
    return true;
}

void PermitBucket::giveBack(RequestRate rate) { available_ = std::min(maxAvailable(rate), available_ + 1); }

Milliseconds PermitBucket::timeUntil(std::size_t permits, RequestRate rate) const
{
    const double missing = static_cast<double>(permits) - available_;
    if (missing <= tolerance)
        return Milliseconds(0);
    const double milliseconds = std::ceil(missing / rate.value() * 1000);
    return milliseconds < static_cast<double>(maxTime.count()) ? Milliseconds(static_cast<std::int64_t>(milliseconds))
                                                               : maxTime;
}

} // namespace lagoon::ratelimits
