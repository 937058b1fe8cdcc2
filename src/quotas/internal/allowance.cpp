#include "quotas/allowance.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lagoon::quotas {

namespace {

using framework::Deadline;
using framework::Milliseconds;
using framework::SteadyTime;
using Seconds = std::chrono::duration<double>;

/// Callers come back no later than this; by then others may need less.
constexpr Seconds maxRetryAfter { 10 };
/// At least this much of what comes in is announced to callers in advance.
constexpr Milliseconds minRetryAfter { 50 };

} // namespace

AllowanceTerms AllowanceTerms::scaled(double share) const
{
    return { perSecond * share, burst * share, tolerance * share, grantsOversized };
}

void Allowance::refill(const AllowanceTerms& terms, SteadyTime now)
{
    terms_ = terms;
    const Seconds passed = refilledAt_ ? now - *refilledAt_ : SteadyTime::duration(0);
    refilledAt_ = now;
    level_ = std::min(terms.burst, level_ + std::max(0.0, passed.count()) * terms.perSecond);
}

double Allowance::neededLevel(double cost) const
{
    const double needed = cost - terms_.tolerance;
    return terms_.grantsOversized ? std::min(needed, terms_.burst) : needed;
}

bool Allowance::isCovered(double cost) const
{
    // Sums of fractions don't quite add up.
    constexpr double epsilon = 1e-6;
    return level_ + epsilon >= neededLevel(cost);
}

bool Allowance::draw(double cost)
{
    const bool mayExceed = std::exchange(mayExceedOnce_, false) && cost <= terms_.burst;
    if (!mayExceed && !isCovered(cost))
        return false;
    level_ -= cost;
    return true;
}

void Allowance::credit(double amount) { level_ = std::min(terms_.burst, level_ + amount); }

Milliseconds Allowance::deny(double cost, SteadyTime now)
{
    if (terms_.perSecond <= 0)
        return std::chrono::duration_cast<Milliseconds>(maxRetryAfter);
    const double missing = std::max(0.0, neededLevel(cost) - level_);
    const Seconds untilCovered { missing / terms_.perSecond };
    const Seconds announced = std::max(Seconds(0), Seconds(announcedUntil_.at() - now));
    const Seconds wait = std::min(maxRetryAfter, std::max(untilCovered, announced));
    const Seconds taken { cost / terms_.perSecond };
    const auto until = std::chrono::duration_cast<SteadyTime::duration>(std::min(maxRetryAfter, wait + taken));
    announcedUntil_ = Deadline(now + until);
    return std::max(minRetryAfter, std::chrono::duration_cast<Milliseconds>(wait));
}

} // namespace lagoon::quotas
