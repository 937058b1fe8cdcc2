// Queries of ReplicaController: its state, and what it would decide. None of them changes it.
#include "agent/internal/replicacontroller.h"
#include "agent/internal/replicarefusal.h"

#include <algorithm>

namespace lagoon::agent {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::MebiBytes;
using framework::Milliseconds;
using framework::SteadyTime;

} // namespace

LoadOffer ReplicaController::offer(const ReplicaId& id) const
{
    LoadOffer offer;
    const SteadyTime now = ports_.clock.now();
    const Replica* replica = find(id);
    offer.isLoaded = replica && replica->stage == ReplicaStage::Loaded;
    offer.isLoading = replica && replica->isBeingLoaded();
    offer.available = account_.available();
    offer.refusal = refusalOf(id, Deadline(SteadyTime::max()));
    if (!bundle_ || !weightsOf(id))
        return offer;
    offer.checkpoint = locationOf(id);
    offer.expectedLoad = expectedLoad(id).typical;
    const std::uint64_t needed = replica ? 0 : memoryNeeded(id);
    if (needed <= offer.available.value())
        return offer;
    std::uint64_t evicted = 0;
    SteadyTime lastVictimUse {};
    for (const ReplicaId& victim : victims(MebiBytes(needed - offer.available.value()), id)) {
        evicted += find(victim)->memory.value();
        lastVictimUse = std::max(lastVictimUse, find(victim)->lastUsed);
    }
    offer.evicted = MebiBytes(evicted);
    if (evicted > 0)
        offer.victimIdle = std::chrono::duration_cast<Milliseconds>(now - lastVictimUse);
    return offer;
}

std::optional<Error> ReplicaController::refusalOf(const ReplicaId& id, Deadline deadline) const
{
    if (isDraining_)
        return permanentRefusal(ErrorCode::Draining, id, "the agent shuts down");
    if (ports_.isEngineLeaving())
        return permanentRefusal(ErrorCode::Draining, id, "the engine leaves");
    if (!isInitialized() || !bundle_)
        return refusal(ErrorCode::NotReady, id, "engine, claims or bundle not read yet", retryWhenBusy);
    const bundle::Model* model = bundle_->model(id.model);
    if (!model)
        return permanentRefusal(ErrorCode::UnknownModel, id, "not in the bundle");
    if (std::find(model->pools.begin(), model->pools.end(), settings_.pool) == model->pools.end())
        return permanentRefusal(ErrorCode::NoCapacity, id, "not decided for pool " + settings_.pool.value());
    if (id.isAdapter() && !bundle_->adapter(id.model, id.adapter))
        return permanentRefusal(ErrorCode::UnknownAdapter, id, "not in the bundle");
    if (decidedCount(id).decided == 0 || decidedCount(id.modelId()).decided == 0)
        return permanentRefusal(ErrorCode::ReplicaCapReached, id, "no replica decided at this site");
    if (engineFailures_ >= failuresUntilUnreachable)
        return refusal(ErrorCode::NotReady, id, "the engine doesn't answer", retryWhenBusy);
    const Replica* replica = find(id);
    const auto isBeingUnloaded
        = [](const Replica* one) { return one && one->stage == ReplicaStage::Draining && !one->reloadsAfterUnload; };
    if (isBeingUnloaded(replica) || isBeingUnloaded(find(id.modelId())))
        return refusal(ErrorCode::NotReady, id, "it is being unloaded", retryWhenBusy);
    if (replica)
        return std::nullopt;
    const policy::LoadTimeEstimate expected = expectedLoad(id);
    if (expected.low > deadline.remaining(ports_.clock.now()))
        return refusal(ErrorCode::DeadlineHopeless, id,
            "loads take about " + std::to_string(expected.typical.count()) + " ms", expected.typical);
    return memoryRefusal(id);
}

std::optional<Error> ReplicaController::memoryRefusal(const ReplicaId& id) const
{
    const std::uint64_t needed = memoryNeeded(id);
    const std::uint64_t free = account_.available().value() + memoryBeingFreed();
    if (needed <= free || !victims(MebiBytes(needed - free), id).empty())
        return std::nullopt;
    return refusal(ErrorCode::MemoryShort, id,
        std::to_string(needed) + " MiB needed, " + std::to_string(free) + " free, the rest is in use", retryWhenFull);
}

std::uint64_t ReplicaController::memoryNeeded(const ReplicaId& id) const
{
    std::uint64_t needed = weightsOf(id)->memory.value();
    if (id.isAdapter() && !find(id.modelId()))
        needed += weightsOf(id.modelId())->memory.value();
    return needed;
}

/// Memory of replicas that are being unloaded, and of replicas left by a previous process that no caller waits for:
/// once these have settled, they are gone or can be unloaded.
std::uint64_t ReplicaController::memoryBeingFreed() const
{
    std::uint64_t beingFreed = 0;
    for (const auto& [id, replica] : replicas_) {
        const bool isLeaving = replica.stage == ReplicaStage::Draining || replica.stage == ReplicaStage::Unloading;
        const bool isUnsettled = replica.stage == ReplicaStage::Settling || replica.stage == ReplicaStage::Loading
            || (replica.stage == ReplicaStage::Loaded && !replica.isClaimed && replica.uses == 0);
        if (isLeaving || (isUnsettled && !isRequested(replica)))
            beingFreed += replica.memory.value();
    }
    return beingFreed;
}

std::vector<ReplicaId> ReplicaController::victims(MebiBytes needed, const ReplicaId& incoming) const
{
    std::vector<policy::LoadedReplica> views;
    for (const auto& [id, replica] : replicas_) {
        if (replica.stage != ReplicaStage::Loaded)
            continue;
        policy::LoadedReplica view = viewOf(replica);
        const bool isPinned = id == incoming.modelId() || !replica.isClaimed;
        if (isPinned)
            view.running = std::max<std::uint32_t>(1, view.running);
        views.push_back(std::move(view));
    }
    std::vector<ReplicaId> chosen;
    for (const std::size_t index : keepWarm_->victims(views, needed, ports_.clock.now()))
        chosen.push_back({ views[index].model, views[index].adapter });
    return chosen;
}

policy::LoadedReplica ReplicaController::viewOf(const Replica& replica) const
{
    policy::LoadedReplica view;
    view.model = replica.id.model;
    view.adapter = replica.id.adapter;
    view.memory = replica.memory;
    view.lastUsed = replica.lastUsed;
    view.loadTime = replica.loadTime;
    view.running = replica.uses;
    view.recentUses = replica.recentUses;
    view.gaps = replica.gaps;
    // A model counts as in use while one of its adapters is being loaded.
    for (const auto& [id, other] : replicas_) {
        if (id.isAdapter() && id.model == replica.id.model && !replica.id.isAdapter() && other.isBeingLoaded())
            ++view.running;
    }
    return view;
}

policy::LoadTimeEstimate ReplicaController::expectedLoad(const ReplicaId& id) const
{
    policy::LoadTimeEstimate expected
        = loadTimes_.estimate(replicaText(id), locationOf(id), weightsOf(id)->memory, ports_.clock.now());
    if (!id.isAdapter() || find(id.modelId()))
        return expected;
    const policy::LoadTimeEstimate modelEstimate = expectedLoad(id.modelId());
    expected.low += modelEstimate.low;
    expected.typical += modelEstimate.typical;
    expected.high += modelEstimate.high;
    return expected;
}

policy::CheckpointLocation ReplicaController::locationOf(const ReplicaId& id) const
{
    const auto weights = weightsOf(id);
    for (const CachedCheckpoint& cached : engineState_.checkpoints) {
        if (weights && cached.checkpoint == Checkpoint { id, weights->version })
            return cached.location;
    }
    return policy::CheckpointLocation::Remote;
}

std::optional<ReplicaController::Weights> ReplicaController::weightsOf(const ReplicaId& id) const
{
    if (!bundle_)
        return std::nullopt;
    if (const bundle::Adapter* adapter = bundle_->adapter(id.model, id.adapter))
        return Weights { adapter->version, adapter->memory };
    const bundle::Model* model = id.isAdapter() ? nullptr : bundle_->model(id.model);
    if (!model)
        return std::nullopt;
    return Weights { model->version, model->memory };
}

bundle::DecidedCount ReplicaController::decidedCount(const ReplicaId& id) const
{
    if (!bundle_)
        return {};
    return { bundle_->decidedReplicas(id.model, id.adapter, settings_.site), bundle_->version };
}

/// Whether the engine has an adapter of the model or may still receive one. Adapters in earlier stages don't count:
/// they would block the model's unload while they queue behind a load that waits for the model's memory.
bool ReplicaController::hasAdapters(const framework::ModelName& model) const
{
    return std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
        const ReplicaStage stage = entry.second.stage;
        return entry.first.isAdapter() && entry.first.model == model && stage >= ReplicaStage::Loading
            && stage != ReplicaStage::Releasing;
    });
}

/// Always true for a model. An adapter requires its model to be loaded and not draining.
bool ReplicaController::hasRequiredModel(const ReplicaId& id) const
{
    const Replica* model = find(id.modelId());
    return !id.isAdapter() || (model && model->stage == ReplicaStage::Loaded);
}

/// Whether a load that isn't ordered yet is still needed: by a caller, for a reload, or by an adapter of the model.
bool ReplicaController::isRequested(const Replica& replica) const
{
    if (!replica.waiters.empty() || replica.reloadsAfterUnload)
        return true;
    return std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
        return entry.second.stage == ReplicaStage::WaitingForModel && entry.first.model == replica.id.model;
    });
}

bool ReplicaController::isInTransition() const
{
    return !isInitialized() || std::any_of(replicas_.begin(), replicas_.end(), [](const auto& entry) {
        return entry.second.stage != ReplicaStage::Loaded && entry.second.stage != ReplicaStage::Releasing;
    });
}

EngineOrder ReplicaController::orderFor(const Replica& replica) const
{
    return EngineOrder { Checkpoint { replica.id, replica.version }, replica.memory, replica.fence };
}
} // namespace lagoon::agent
