#include "forwarding/internal/evictioncost.h"

#include "catalog/modelweights.h"
#include "forwarding/internal/enginefacts.h"
#include "policy/modelcopies.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace lagoon::forwarding {

namespace {

using catalog::EngineState;
using catalog::ModelProfile;
using framework::ModelName;

/// Evicting the only cached copy of a rare model costs more: the engine may not have enough memory for the model when
/// it is requested again.
constexpr double onlyCopyCost = 1;
constexpr double otherCopyCost = 0.5;
/// Models that are requested more often cost more to evict; this is the cost for work that takes all of an engine's
/// time.
constexpr double costPerWork = 20;
/// A busy model may lose one of several copies to a model that requests wait for if the alternative is a load from the
/// weight store: its requests go to the other copies until another one is loaded.
constexpr double busyCopyCost = 5;

std::uint64_t usedWeights(const catalog::EngineProfile& profile, const EngineState& state)
{
    std::uint64_t used = 0;
    for (const catalog::LoadedModel& held : state.held)
        used += catalog::weightsOf(profile, held).value();
    const ModelProfile* const loading = state.find(state.loading) ? nullptr : profile.find(state.loading);
    return used + (loading ? loading->weights.value() : 0);
}

} // namespace

/// Returns what is lost if the loaded model is evicted; std::nullopt if it must not be evicted.
std::optional<double> EvictionCost::costOf(
    const EngineFacts& engine, const ModelName& held, bool hasWaitingRequests) const
{
    const double work = work_.at(held);
    const auto copies = static_cast<std::uint32_t>(input_.replicas.loadedAt(held).size());
    if (copies > policy::desiredCopies(work))
        return 0;
    if (policy::isBusyModel(work))
        return hasWaitingRequests && copies > 1 && input_.policy.displacesBusyCopies ? std::optional(busyCopyCost)
                                                                                     : std::nullopt;
    const ReplicaIndex::Engines& available = input_.replicas.availableAt(held);
    const bool isElsewhere = available.size() > 1 || (available.size() == 1 && available.front() != engine.engine);
    return (isElsewhere ? otherCopyCost : onlyCopyCost) + costPerWork * work;
}

/// Returns the cost of freeing enough memory for the model; std::nullopt if that is impossible. Evicts idle models
/// first.
std::optional<EvictionEstimate> EvictionCost::estimate(
    const EngineFacts& engine, const ModelProfile& model, bool hasWaitingRequests) const
{
    const std::uint64_t needed = model.weights.value();
    std::uint64_t used = usedWeights(input_.profile, *engine.state);
    std::vector<std::tuple<bool, double, std::uint64_t>> removable;
    for (const catalog::LoadedModel& held : engine.state->held) {
        if (const auto evictionCost = costOf(engine, held.model, hasWaitingRequests))
            removable.emplace_back(held.inUse > 0, *evictionCost, catalog::weightsOf(input_.profile, held).value());
    }
    std::sort(removable.begin(), removable.end());
    EvictionEstimate eviction;
    for (const auto& [isInUse, itemCost, size] : removable) {
        if (used + needed <= input_.profile.weights.value())
            break;
        used -= std::min(used, size);
        eviction.evictionCost += itemCost;
        eviction.isInUse = eviction.isInUse || isInUse;
    }
    if (used + needed > input_.profile.weights.value())
        return std::nullopt;
    return eviction;
}

} // namespace lagoon::forwarding
