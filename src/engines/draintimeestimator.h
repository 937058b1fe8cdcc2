#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "policy/meanduration.h"

#include <functional>
#include <map>
#include <vector>

namespace lagoon::engines {

/// How long models that are to make way stay in use, learned from those that have. Without I/O or clock.
class DrainTimeEstimator {
public:
    /// Requests that use a model now.
    using Uses = std::function<std::uint32_t(const framework::ModelName&)>;

    DrainTimeEstimator();

    /// Called at each decision, before it: learns from what has drained since.
    void noteDrained(const Uses&, framework::SteadyTime now);
    /// And after it, with the models that are to make way.
    void noteDraining(const std::vector<framework::ModelName>&, const Uses&, framework::SteadyTime now);
    /// Until all of the models are free. One that drains for longer than usual is thought to need as long again, so
    /// that routers stop waiting for an engine that one long stream keeps from loading.
    framework::Milliseconds expected(
        const std::vector<framework::ModelName>&, const Uses&, framework::SteadyTime now) const;
    void reset() { drainingSince_.clear(); }

private:
    /// Models in use that are making way.
    std::map<framework::ModelName, framework::SteadyTime> drainingSince_;
    policy::MeanDuration mean_;
};

} // namespace lagoon::engines
