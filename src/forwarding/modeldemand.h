#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace lagoon::forwarding {

/// How much of an engine's time the requests for each model take, by an average that fades within seconds: demand
/// moves from model to model during a day.
class ModelDemand {
public:
    explicit ModelDemand(framework::SteadyTime startedAt)
        : startedAt_(startedAt)
    {
    }

    /// `work` is the engine's time that the request takes by itself.
    void didArrive(const framework::ModelName&, framework::Milliseconds work, framework::SteadyTime now);
    /// Part of one engine's time, 0 for models that nobody asks for.
    double work(const framework::ModelName&, framework::SteadyTime now) const;
    /// The same for all models that aren't forgotten.
    std::map<framework::ModelName, double> recent(framework::SteadyTime now) const;
    /// Those that weren't asked for lately.
    void forgetOld(framework::SteadyTime now);
    /// Whether what hasn't been asked for is really not in demand. A process that starts while its callers go on asking
    /// has to listen first; one that nobody asks anything may take it that nobody will at once.
    bool isKnown(framework::SteadyTime now) const;

private:
    struct Average {
        double perSecond = 0;
        framework::SteadyTime at {};
    };

    framework::SteadyTime startedAt_;
    std::optional<framework::SteadyTime> firstArrival_;
    std::unordered_map<framework::ModelName, Average> averages_;
};

} // namespace lagoon::forwarding
