#pragma once

#include "framework/types/time.h"

#include <mutex>
#include <optional>

namespace lagoon::objectstore {

/// Token bucket over all calls of a process. Thread-safe.
///
/// Guards against a process that calls without end, by a defect or because everyone retries at once: the platform
/// serves a few thousand calls a second for the whole fleet, and each process beyond its part fails at home, at once.
class CallBudget {
public:
    CallBudget(double callsPerSecond, double burst, framework::SteadyTime now);

    /// Takes one call, or returns how long until there is one.
    std::optional<framework::Milliseconds> take(framework::SteadyTime now);

private:
    std::mutex mutex_;
    const double callsPerSecond_;
    const double burst_;
    double available_;
    framework::SteadyTime refilledAt_;
};

} // namespace lagoon::objectstore
