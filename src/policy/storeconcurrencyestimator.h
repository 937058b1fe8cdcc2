#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace lagoon::policy {

/// Estimates from the durations of loads how many loads the weight store serves at once without slowing them down.
/// Beyond that number each load takes proportionally longer, so that further concurrent loads only make all of them
/// late.
class StoreConcurrencyEstimator {
public:
    /// `loads` has the loads in progress by engine, with the time that each takes without contention.
    void observe(const std::map<std::string, framework::Milliseconds>& loads, framework::SteadyTime now);
    std::size_t slots() const;

private:
    struct Load {
        framework::SteadyTime startedAt {};
        framework::SteadyTime updatedAt {};
        framework::Milliseconds uncontended { 0 };
        /// Number of loads in progress, integrated over the duration of this load, in seconds.
        double concurrencySeconds = 0;
    };

    static double secondsBetween(framework::SteadyTime from, framework::SteadyTime to);
    void updateFrom(const Load&, framework::SteadyTime now, bool hasEnded);

    std::map<std::string, Load> loads_;
    double slots_ = 4;
};

} // namespace lagoon::policy
