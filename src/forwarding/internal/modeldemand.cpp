#include "forwarding/modeldemand.h"

#include <cmath>

namespace lagoon::forwarding {

namespace {

using Seconds = std::chrono::duration<double>;

/// Demand moves from model to model within some five seconds, and a further copy takes as long to load: an average that
/// follows no faster asks for it when the requests are late already. A shorter one would see chance.
constexpr double fadeSeconds = 3;

double faded(double value, framework::SteadyTime since, framework::SteadyTime now)
{
    return value * std::exp(-std::max(0.0, Seconds(now - since).count()) / fadeSeconds);
}

} // namespace

void ModelDemand::didArrive(const framework::ModelName& model, framework::Milliseconds work, framework::SteadyTime now)
{
    Average& average = averages_[model];
    average.perSecond = faded(average.perSecond, average.at, now) + Seconds(work).count() / fadeSeconds;
    average.at = now;
}

double ModelDemand::work(const framework::ModelName& model, framework::SteadyTime now) const
{
    const auto found = averages_.find(model);
    return found == averages_.end() ? 0 : faded(found->second.perSecond, found->second.at, now);
}

} // namespace lagoon::forwarding
