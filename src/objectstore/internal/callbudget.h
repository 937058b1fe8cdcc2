#pragma once

#include "framework/types/time.h"

#include <mutex>
#include <optional>

namespace lagoon::objectstore {

/// Token bucket for all platform calls of a process. Thread-safe.
///
/// Prevents a process from overloading the platform, through a defect or when all processes retry at once. The platform
/// serves a few thousand calls per second for the whole fleet, so calls beyond a process's share fail at once without
/// being sent.
class CallBudget {
public:
    CallBudget(double callsPerSecond, double burst, framework::SteadyTime now);

    /// Takes one token. If none is available, returns the time until one is.
    std::optional<framework::Milliseconds> tryAcquire(framework::SteadyTime now);

private:
    std::mutex mutex_;
    const double callsPerSecond_;
    const double burst_;
    double available_;
    framework::SteadyTime refilledAt_;
};

} // namespace lagoon::objectstore
