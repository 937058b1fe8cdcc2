#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>

namespace lagoon::forwarding {

/// Measures how much of an engine's time the requests for each model take, as a moving average that decays within
/// seconds, because demand moves between models during a day.
class ModelDemand {
public:
    explicit ModelDemand(framework::SteadyTime startedAt)
        : startedAt_(startedAt)
    {
    }

    /// `work` is the engine time that the request itself takes.
    void didArrive(const framework::ModelName&, framework::Milliseconds work, framework::SteadyTime now);
    /// Returns the model's work as a fraction of one engine's time; 0 for models without requests.
    double work(const framework::ModelName&, framework::SteadyTime now) const;
    /// Returns the work of all models with recent requests.
    std::map<framework::ModelName, double> recent(framework::SteadyTime now) const;
    /// Returns the mean engine time, in seconds, that a recent request for each model takes.
    std::map<framework::ModelName, double> workPerRequest() const;
    std::size_t models() const { return averages_.size(); }
    /// Drops the models without recent requests.
    void forgetOld(framework::SteadyTime now);
    /// Whether the absence of requests for a model means that it is not in demand. A process that starts while callers
    /// are already sending requests has to observe them first; one that receives no requests at all can assume after a
    /// shorter time that there are none.
    bool isKnown(framework::SteadyTime now) const;

private:
    struct Average {
        double perSecond = 0;
        double requestsPerSecond = 0;
        framework::SteadyTime at {};
    };

    framework::SteadyTime startedAt_;
    std::optional<framework::SteadyTime> firstArrival_;
    std::unordered_map<framework::ModelName, Average> averages_;
};

} // namespace lagoon::forwarding
