#pragma once

#include "agent/types/target.h"
#include "policy/loadforecast.h"

#include <map>
#include <optional>
#include <string>

namespace lagoon::agent {

/// Estimates how long the upstream takes for a request to each target, from the requests that have ended. Does no I/O
/// and reads no clock.
class ServiceTimes {
public:
    void record(const Target&, framework::Milliseconds took);
    /// std::nullopt before the first measurement of the target.
    std::optional<policy::LoadTimeEstimate> estimateFor(const Target&) const;
    /// Estimate over the requests to all targets.
    policy::LoadTimeEstimate estimateForAll() const { return estimate(all_); }

private:
    struct Average {
        double mean = 0;
        /// Mean absolute deviation.
        double deviation = 0;
        bool isKnown = false;
    };

    static void update(Average&, double milliseconds);
    static policy::LoadTimeEstimate estimate(const Average&);

    Average all_;
    std::map<std::string, Average> byTarget_;
};

} // namespace lagoon::agent
