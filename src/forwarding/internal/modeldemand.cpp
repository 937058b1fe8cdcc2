#include "forwarding/modeldemand.h"

#include <cmath>

namespace lagoon::forwarding {

namespace {

using Seconds = std::chrono::duration<double>;

/// Demand moves between models within some 5 s, and loading a further copy takes as long: a slower average would
/// request the copy when requests are already late. A faster one would follow random fluctuations.
constexpr double decaySeconds = 3;

/// By then a model's average has decayed to an eighth.
constexpr framework::Milliseconds averageTtl { 6000 };
/// An average over a shorter time reflects chance rather than demand.
constexpr double minWindowSeconds = 1;
/// Callers that are already sending requests when a process starts are observed within this time.
constexpr framework::Milliseconds startupWindow { 1500 };
/// By then the average has reached four fifths of its final value.
constexpr framework::Milliseconds warmUp { 5000 };

double decayed(double value, framework::SteadyTime since, framework::SteadyTime now)
{
    return value * std::exp(-std::max(0.0, Seconds(now - since).count()) / decaySeconds);
}

} // namespace

void ModelDemand::didArrive(const framework::ModelName& model, framework::Milliseconds work, framework::SteadyTime now)
{
    if (!firstArrival_)
        firstArrival_ = now;
    Average& average = averages_[model];
    average.perSecond = decayed(average.perSecond, average.at, now) + Seconds(work).count() / decaySeconds;
    average.requestsPerSecond = decayed(average.requestsPerSecond, average.at, now) + 1 / decaySeconds;
    average.at = now;
}

std::map<framework::ModelName, double> ModelDemand::workPerRequest() const
{
    std::map<framework::ModelName, double> all;
    for (const auto& [model, average] : averages_)
        all.emplace(model, average.perSecond / average.requestsPerSecond);
    return all;
}

double ModelDemand::work(const framework::ModelName& model, framework::SteadyTime now) const
{
    const auto found = averages_.find(model);
    if (found == averages_.end())
        return 0;
    // The average has been accumulating only since the first arrival. Without this correction, a router that has just
    // started would know a third of the demand after a second, and the copies that a busy model needs would be loaded
    // seconds too late.
    const double observed = std::max(minWindowSeconds, Seconds(now - *firstArrival_).count());
    return decayed(found->second.perSecond, found->second.at, now) / (1 - std::exp(-observed / decaySeconds));
}

void ModelDemand::forgetOld(framework::SteadyTime now)
{
    std::erase_if(averages_, [now](const auto& entry) { return now - entry.second.at > averageTtl; });
}

std::map<framework::ModelName, double> ModelDemand::recent(framework::SteadyTime now) const
{
    std::map<framework::ModelName, double> all;
    for (const auto& [model, average] : averages_)
        all.emplace(model, work(model, now));
    return all;
}

bool ModelDemand::isKnown(framework::SteadyTime now) const
{
    if (now - startedAt_ < startupWindow)
        return false;
    const bool startedUnderLoad = firstArrival_ && *firstArrival_ - startedAt_ < startupWindow;
    return !startedUnderLoad || now - startedAt_ >= warmUp;
}

} // namespace lagoon::forwarding
