#include "forwarding/internal/roomdamage.h"

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

/// A rare model that no other engine has at hand is missed more: the engine may not have room for it when it is asked
/// for.
constexpr double damageOfOnlyCopy = 1;
constexpr double damageOfOtherCopy = 0.5;
/// And one that is asked for more often: this for each part of an engine's time.
constexpr double damagePerWork = 20;
/// A busy model may lose one of several copies to a model that callers wait for, where the other way is a load from the
/// store: its requests go to the other copies until another is made.
constexpr double damageOfBusyCopy = 5;

std::uint64_t usedWeights(const catalog::EngineProfile& profile, const EngineState& state)
{
    std::uint64_t used = 0;
    for (const catalog::LoadedModel& held : state.held)
        used += catalog::weightsOf(profile, held).value();
    const ModelProfile* const loading = state.find(state.loading) ? nullptr : profile.find(state.loading);
    return used + (loading ? loading->weights.value() : 0);
}

} // namespace

/// What is lost if the held model makes way; nothing if it must not.
std::optional<double> RoomDamage::of(const EngineFacts& engine, const ModelName& held, bool isWaitedFor) const
{
    const double work = work_.at(held);
    const auto holders = static_cast<std::uint32_t>(input_.replicas.loadedAt(held).size());
    if (holders > policy::wantedCopies(work))
        return 0;
    if (policy::isBusyModel(work))
        return isWaitedFor && holders > 1 && input_.policy.displacesBusyCopies ? std::optional(damageOfBusyCopy)
                                                                               : std::nullopt;
    const ReplicaIndex::Engines& available = input_.replicas.availableAt(held);
    const bool isElsewhere = available.size() > 1 || (available.size() == 1 && available.front() != engine.engine);
    return (isElsewhere ? damageOfOtherCopy : damageOfOnlyCopy) + damagePerWork * work;
}

/// Of making room for a model of this size; nothing if there can't be any. What isn't in use goes first.
std::optional<Room> RoomDamage::ofRoom(const EngineFacts& engine, const ModelProfile& model, bool isWaitedFor) const
{
    const std::uint64_t needed = model.weights.value();
    std::uint64_t used = usedWeights(input_.profile, *engine.state);
    std::vector<std::tuple<bool, double, std::uint64_t>> removable;
    for (const catalog::LoadedModel& held : engine.state->held) {
        if (const auto damage = of(engine, held.model, isWaitedFor))
            removable.emplace_back(held.inUse > 0, *damage, catalog::weightsOf(input_.profile, held).value());
    }
    std::sort(removable.begin(), removable.end());
    Room room;
    for (const auto& [isInUse, lost, size] : removable) {
        if (used + needed <= input_.profile.weights.value())
            break;
        used -= std::min(used, size);
        room.damage += lost;
        room.isInUse = room.isInUse || isInUse;
    }
    if (used + needed > input_.profile.weights.value())
        return std::nullopt;
    return room;
}

} // namespace lagoon::forwarding
