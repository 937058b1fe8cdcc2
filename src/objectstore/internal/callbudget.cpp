#include "objectstore/internal/callbudget.h"

#include <algorithm>
#include <cmath>

namespace lagoon::objectstore {

CallBudget::CallBudget(double callsPerSecond, double burst, framework::SteadyTime now)
    : callsPerSecond_(callsPerSecond)
    , burst_(burst)
    , available_(burst)
    , refilledAt_(now)
{
}

std::optional<framework::Milliseconds> CallBudget::tryAcquire(framework::SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    const double elapsed = std::chrono::duration<double>(std::max(now, refilledAt_) - refilledAt_).count();
    available_ = std::min(burst_, available_ + elapsed * callsPerSecond_);
    refilledAt_ = std::max(now, refilledAt_);
    if (available_ < 1)
        return framework::Milliseconds(std::llround(std::ceil((1 - available_) / callsPerSecond_ * 1000)));
    available_ -= 1;
    return std::nullopt;
}

} // namespace lagoon::objectstore
