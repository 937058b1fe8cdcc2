#pragma once

#include "agent/types/target.h"
#include "policy/loadforecast.h"

#include <map>
#include <optional>
#include <string>

namespace lagoon::agent {

/// How long the upstream takes for a request, learned from those it ended, by target. Pure.
class ServiceTimes {
public:
    void record(const Target&, framework::Milliseconds took);
    /// Nothing before the first measurement of the target.
    std::optional<policy::LoadTimeEstimate> estimateFor(const Target&) const;
    /// Of whatever the upstream runs.
    policy::LoadTimeEstimate estimateForAll() const { return estimate(all_); }

private:
    struct Average {
        double mean = 0;
        /// Mean absolute deviation.
        double deviation = 0;
        bool isKnown = false;
    };

    static void take(Average&, double milliseconds);
    static policy::LoadTimeEstimate estimate(const Average&);

    Average all_;
    std::map<std::string, Average> byTarget_;
};

} // namespace lagoon::agent
