#pragma once

#include "fairness/types/customeruse.h"
#include "framework/types/time.h"

namespace lagoon::fairness {

/// What the customers of one router used in the last seconds; older use fades. Bounded in size.
class UseMeter {
public:
    void didServe(const CustomerKey&, double cost, framework::SteadyTime now);
    void didMiss(const CustomerKey&, double cost, framework::SteadyTime now);
    /// Returns the use of at most `maxNamedCustomers` customers by name.
    UseReport report(framework::SteadyTime now);

private:
    Use& useOf(const CustomerKey&, framework::SteadyTime now);
    void fade(framework::SteadyTime now);

    UseReport use_;
    framework::SteadyTime fadedAt_ {};
};

} // namespace lagoon::fairness
