#include "forwarding/internal/enginefacts.h"

#include "catalog/modelweights.h"

#include <algorithm>

namespace lagoon::forwarding {

using catalog::EngineState;
using catalog::ModelProfile;
using framework::Milliseconds;
using framework::ModelName;

namespace {

/// Returns the fraction of the engine's slots or memory that one of its requests occupies, whichever is larger.
double shareOfRequest(const EngineState& state, std::uint32_t slots)
{
    const double ofSlots = 1.0 / std::max<std::uint32_t>(1, slots);
    if (state.running == 0 || state.memory.value() == 0)
        return ofSlots;
    const double ofMemory
        = static_cast<double>(state.usedMemory.value()) / static_cast<double>(state.memory.value()) / state.running;
    return std::max(ofSlots, ofMemory);
}

} // namespace

std::optional<Milliseconds> expectedLoadTime(
    const EngineFacts& engine, const ModelName& model, framework::SteadyTime now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - engine.stateAt);
    for (const EngineState::Expected& expected : engine.state->expected) {
        if (expected.model != model)
            continue;
        return expected.within >= catalog::loadImpossible ? catalog::loadImpossible
                                                          : std::max(Milliseconds(0), expected.within - age);
    }
    return std::nullopt;
}

Milliseconds loadCost(const EngineFacts& engine, const ModelProfile& model, framework::SteadyTime now)
{
    if (const auto expected = expectedLoadTime(engine, model.name, now))
        return *expected;
    Milliseconds queue(0);
    for (const EngineState::Expected& other : engine.state->expected) {
        if (other.within < catalog::loadImpossible)
            queue = std::max(queue, other.within);
    }
    return queue + catalog::loadTime(model, engine.state->cachedWeights);
}

std::uint32_t loadersOf(const std::vector<EngineFacts>& engines, const ModelName& model)
{
    return static_cast<std::uint32_t>(std::count_if(
        engines.begin(), engines.end(), [&](const EngineFacts& engine) { return engine.state->loading == model; }));
}

std::map<ModelName, double> occupancies(const std::vector<EngineFacts>& engines, std::uint32_t slots)
{
    std::map<ModelName, double> all;
    for (const EngineFacts& engine : engines) {
        const double share = shareOfRequest(*engine.state, slots);
        for (const auto& [target, inFlight] : engine.inFlight)
            all[target.model] += inFlight * share;
    }
    return all;
}

} // namespace lagoon::forwarding
