#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace lagoon::policy {

/// How many loads the weight store serves at once without slowing each other, learned from how long loads take: beyond
/// that number each takes longer in proportion, so more of them at once only makes all of them late.
class StoreConcurrencyEstimator {
public:
    /// `loads` are those under way now, by engine, with the time that each takes undisturbed.
    void observe(const std::map<std::string, framework::Milliseconds>& loads, framework::SteadyTime now);
    std::size_t slots() const;

private:
    struct Load {
        framework::SteadyTime since {};
        framework::SteadyTime at {};
        framework::Milliseconds uncontended { 0 };
        /// Sum over time of how many were under way, in seconds.
        double concurrencySeconds = 0;
    };

    static double secondsBetween(framework::SteadyTime from, framework::SteadyTime to);
    void updateFrom(const Load&, framework::SteadyTime now, bool hasEnded);

    std::map<std::string, Load> loads_;
    double slots_ = 4;
};

} // namespace lagoon::policy
