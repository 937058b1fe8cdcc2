#include "forwarding/modeldemand.h"

#include <cmath>

namespace lagoon::forwarding {

namespace {

using Seconds = std::chrono::duration<double>;

/// Demand moves from model to model within some five seconds, and a further copy takes as long to load: an average that
/// follows no faster asks for it when the requests are late already. A shorter one would see chance.
constexpr double decaySeconds = 3;

/// What is left of a model's average by then is an eighth.
constexpr framework::Milliseconds averageTtl { 6000 };
/// An average of less time than this says more of chance than of demand.
constexpr double minWindowSeconds = 1;
/// Callers who go on asking while a process starts are heard within this.
constexpr framework::Milliseconds startupWindow { 1500 };
/// Until then the average holds four fifths of what it will.
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
    average.at = now;
}

double ModelDemand::work(const framework::ModelName& model, framework::SteadyTime now) const
{
    const auto found = averages_.find(model);
    if (found == averages_.end())
        return 0;
    // The average has been filling since the first arrival only. Taken as it is, a router that has just started knows
    // a third of the demand after a second, and the copies that a busy model needs are loaded seconds too late.
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
