#include "forwarding/enginespeeds.h"

#include "forwarding/enginespeed.h"

#include <algorithm>
#include <cmath>

namespace lagoon::forwarding {

namespace {

/// Shorter prompts show the time of the network and of a batch rather than that of reading.
constexpr std::uint64_t minTokens = 1000;
/// What passes before the first event besides the reading.
constexpr double fixedMilliseconds = 15;
/// Prompts of other routers that were read first make a single time much longer than the speed explains.
constexpr double maxLogStep = 1.1;
constexpr double maxLog = 3;
/// The variance of the logarithm of a single time.
constexpr double noise = 0.25;
constexpr std::size_t maxEngines = 1024;
constexpr std::size_t maxModels = 4096;

/// How uncertain a part of the slowness is before the first time, and how uncertain it stays after many.
struct Uncertainty {
    double first = 0;
    double least = 0;
};
/// Sizes of weights differ several times in speed.
constexpr Uncertainty ofSize { 1.5, 0.002 };
constexpr Uncertainty ofModel { 0.15, 0.01 };
/// An engine may become slow at any moment.
constexpr Uncertainty ofEngine { 0.15, 0.12 };

template <typename Map> double logOf(const Map& known, const typename Map::key_type& key)
{
    const auto found = known.find(key);
    return found == known.end() ? 0 : found->second.log;
}

/// Returns nullptr if the key isn't known and nothing more can be kept.
template <typename Map>
typename Map::mapped_type* known(
    Map& map, const typename Map::key_type& key, const Uncertainty& uncertainty, std::size_t most)
{
    if (map.size() >= most && !map.contains(key))
        return nullptr;
    const auto [entry, isNew] = map.try_emplace(key);
    if (isNew)
        entry->second.variance = uncertainty.first;
    return &entry->second;
}

} // namespace

void EngineSpeeds::didRead(
    const catalog::UpstreamRun& engine, const ReadModel& model, std::uint64_t tokens, framework::Milliseconds took)
{
    if (tokens < minTokens)
        return;
    const double assumed = static_cast<double>(tokens) / promptTokensPerMillisecond;
    const double taken = std::max(1.0, static_cast<double>(took.count()) - fixedMilliseconds);
    const double expected = relativeSlowness(engine) + logOf(sizes_, model.weights) + logOf(models_, model.name);
    const double step = std::clamp(std::log(taken / assumed) - expected, -maxLogStep, maxLogStep);

    Slowness* const size = known(sizes_, model.weights, ofSize, maxModels);
    Slowness* const single = known(models_, model.name, ofModel, maxModels);
    Slowness* const own = known(engines_, engine, ofEngine, maxEngines);
    const auto varianceOf = [](const Slowness* slowness) { return slowness ? slowness->variance : 0; };
    const double total = noise + varianceOf(size) + varianceOf(single) + varianceOf(own);
    const auto learn = [&](Slowness* slowness, const Uncertainty& uncertainty) {
        if (!slowness)
            return 0.0;
        const double before = slowness->log;
        const double gain = slowness->variance / total;
        slowness->log = std::clamp(before + gain * step, -maxLog, maxLog);
        slowness->variance = std::max(uncertainty.least, slowness->variance * (1 - gain));
        return slowness->log - before;
    };
    learn(size, ofSize);
    learn(single, ofModel);
    sumOfEngines_ += learn(own, ofEngine);
}

double EngineSpeeds::tokensPerMillisecond(const catalog::UpstreamRun& engine, const ReadModel& model) const
{
    const double slowness = relativeSlowness(engine) + logOf(sizes_, model.weights) + logOf(models_, model.name);
    return promptTokensPerMillisecond / std::exp(slowness);
}

void EngineSpeeds::forget(const catalog::UpstreamRun& engine)
{
    const auto known = engines_.find(engine);
    if (known == engines_.end())
        return;
    sumOfEngines_ -= known->second.log;
    engines_.erase(known);
}

double EngineSpeeds::relativeSlowness(const catalog::UpstreamRun& engine) const
{
    const auto known = engines_.find(engine);
    return known == engines_.end() ? 0 : known->second.log - sumOfEngines_ / static_cast<double>(engines_.size());
}

} // namespace lagoon::forwarding
