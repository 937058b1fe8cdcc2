#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "policy/meanduration.h"

#include <functional>
#include <map>
#include <vector>

namespace lagoon::engines {

/// Estimates how long models that are to be unloaded stay in use, from the drain times observed so far. Does no I/O and
/// reads no clock.
class DrainTimeEstimator {
public:
    /// Returns the number of requests that use a model now.
    using Uses = std::function<std::uint32_t(const framework::ModelName&)>;

    DrainTimeEstimator();

    /// Called before each decision: records the drain times of models that are no longer in use.
    void noteDrained(const Uses&, framework::SteadyTime now);
    /// Called after each decision, with the models that are to be unloaded.
    void noteDraining(const std::vector<framework::ModelName>&, const Uses&, framework::SteadyTime now);
    /// Returns the expected time until none of the models is in use. A model that has been draining for longer than
    /// usual is expected to need as long again, so that routers stop waiting for an engine that one long stream keeps
    /// from loading.
    framework::Milliseconds expected(
        const std::vector<framework::ModelName>&, const Uses&, framework::SteadyTime now) const;
    void reset() { drainingSince_.clear(); }

private:
    /// Models in use that are to be unloaded, with the time since which they have been draining.
    std::map<framework::ModelName, framework::SteadyTime> drainingSince_;
    policy::MeanDuration mean_;
};

} // namespace lagoon::engines
