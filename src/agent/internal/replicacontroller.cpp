#include "agent/internal/replicacontroller.h"

#include "agent/internal/replicarefusal.h"
#include "framework/logging.h"
#include "framework/randomid.h"
#include "policy/expiredreplicas.h"
#include "policy/policysetup.h"

#include <algorithm>

namespace lagoon::agent {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::MebiBytes;
using framework::Milliseconds;
using framework::Result;
using framework::SteadyTime;

constexpr std::size_t maxRecentUses = 8;
/// Longer than a request takes to arrive from its router after the load was reported.
constexpr Milliseconds firstUseGrace { 5000 };

} // namespace

std::string stageText(ReplicaStage stage)
{
    switch (stage) {
    case ReplicaStage::WaitingForModel:
        return "waiting_for_model";
    case ReplicaStage::Claiming:
        return "claiming";
    case ReplicaStage::WaitingForMemory:
        return "waiting_for_memory";
    case ReplicaStage::Loading:
        return "loading";
    case ReplicaStage::Loaded:
        return "loaded";
    case ReplicaStage::Draining:
        return "draining";
    case ReplicaStage::Unloading:
        return "unloading";
    case ReplicaStage::Settling:
        return "settling";
    case ReplicaStage::Releasing:
        return "releasing";
    }
    return "";
}

ReplicaController::ReplicaController(ReplicaPorts ports, ReplicaSettings settings)
    : ports_(std::move(ports))
    , settings_(std::move(settings))
    , keepWarm_(policy::makeKeepWarm(bundle::PolicyParameters {}))
{
}

void ReplicaController::start()
{
    publishedAt_ = ports_.clock.now();
    pollEngine();
    readClaims();
}

void ReplicaController::setBundle(bundle::BundlePointer bundle)
{
    const bundle::BundlePointer former = bundle_;
    std::map<ReplicaId, std::uint32_t> formerCounts;
    for (const auto& [id, replica] : replicas_)
        formerCounts[id] = decidedCount(id).decided;
    bundle_ = std::move(bundle);
    keepWarm_ = policy::makeKeepWarm(bundle_->policy);
    gaps_.keepOnly([this](const ReplicaId& id) { return weightsOf(id).has_value(); });
    for (auto& [id, replica] : replicas_) {
        if (!former || decidedCount(id).decided < formerCounts[id])
            replica.needsCountCheck = true;
        drainIfOutdated(replica);
        const auto weights = weightsOf(id);
        // A load order that may still arrive must fit as well. A model that isn't in the bundle may have any size.
        if (replica.stage == ReplicaStage::Settling)
            account_.setReservation(id, weights ? weights->memory : account_.total());
    }
    advance();
}

void ReplicaController::beginDraining()
{
    isDraining_ = true;
    for (auto& [id, replica] : replicas_) {
        for (const LoadWaiter& waiter : std::exchange(replica.waiters, {}))
            waiter.done(permanentRefusal(ErrorCode::Draining, id, "the agent shuts down"));
    }
}

void ReplicaController::load(const ReplicaId& id, Deadline deadline, LoadDone done)
{
    if (const auto refused = refusalOf(id, deadline)) {
        ports_.metrics->count(
            "lagoon_loads_refused_total", { { "code", std::string(framework::errorCodeText(refused->code)) } });
        done(*refused);
        return;
    }
    Replica* replica = find(id);
    if (replica && replica->stage == ReplicaStage::Loaded) {
        done(std::nullopt);
        return;
    }
    if (!replica)
        replica = &add(id, *weightsOf(id), ReplicaStage::Claiming);
    if (id.isAdapter() && replica->stage == ReplicaStage::Claiming && !replica->isBusy)
        addPendingModel(id);
    if (replica->stage == ReplicaStage::Unloading || replica->stage == ReplicaStage::Draining)
        replica->reloadsAfterUnload = true;
    replica->waiters.push_back({ deadline, std::move(done) });
    advance();
}

/// Makes the adapter wait for its model, which must be loaded first, and adds the model if it isn't known yet.
void ReplicaController::addPendingModel(const ReplicaId& id)
{
    setStage(*find(id), ReplicaStage::WaitingForModel);
    if (!find(id.modelId()))
        add(id.modelId(), *weightsOf(id.modelId()), ReplicaStage::Claiming);
}

Result<void> ReplicaController::beginUse(const Target& target, SteadyTime now)
{
    Replica* replica = find(target.replica);
    Replica* model = find(target.replica.modelId());
    const auto isServed = [](const Replica* one) { return one && one->stage == ReplicaStage::Loaded; };
    if (!isServed(replica) || !isServed(model)) {
        const std::string stage = replica ? stageText(replica->stage) : "not here";
        return refusal(ErrorCode::NotLoaded, target.replica, stage, retryWhenBusy);
    }
    const auto begin = [&](Replica* used) {
        if (used->uses == 0)
            gaps_.beginUse(used->id, now);
        used->gaps = gaps_.gaps(used->id);
        ++used->uses;
    };
    begin(replica);
    if (model != replica)
        begin(model);
    for (Replica* used : { replica, model }) {
        used->lastUsed = now;
        used->wasUsed = true;
        if (used == model && model == replica && !used->recentUses.empty() && used->recentUses.back() == now)
            continue;
        used->recentUses.push_back(now);
        if (used->recentUses.size() > maxRecentUses)
            used->recentUses.erase(used->recentUses.begin());
    }
    return framework::success();
}

void ReplicaController::endUse(const Target& target, SteadyTime now)
{
    const auto end = [&](const ReplicaId& id) {
        Replica* replica = find(id);
        // The engine may have lost the replica while requests were using it.
        if (!replica || replica->uses == 0)
            return gaps_.endUse(id, now);
        --replica->uses;
        replica->lastUsed = now;
        if (replica->uses > 0)
            return;
        gaps_.endUse(id, now);
        replica->loadTime = expectedReloadTime(*replica);
    };
    end(target.replica);
    if (target.replica.isAdapter())
        end(target.replica.modelId());
    const Replica* replica = find(target.replica);
    if (replica && replica->stage != ReplicaStage::Loaded)
        advance();
}

void ReplicaController::advance()
{
    const SteadyTime now = ports_.clock.now();
    expireWaiters(now);
    if (!isDraining_)
        unloadIdle(now);
    std::vector<ReplicaId> ids;
    for (const auto& [id, replica] : replicas_)
        ids.push_back(id);
    for (const ReplicaId& id : ids) {
        if (Replica* replica = find(id))
            step(*replica, now);
    }
    if (!isDraining_)
        admitWaitingLoads(now);
    publishMetrics(now);
    if (isInTransition() && !isPollingFast_)
        pollEngine();
}

void ReplicaController::step(Replica& replica, SteadyTime now)
{
    if (replica.isBusy || !replica.retryAt.hasPassed(now) || !isInitialized() || !bundle_)
        return;
    if (isDraining_ && replica.stage != ReplicaStage::Releasing)
        return;
    switch (replica.stage) {
    case ReplicaStage::WaitingForModel: {
        const Replica* model = find(replica.id.modelId());
        if (!model || model->stage > ReplicaStage::Loaded)
            return failLoad(
                replica, refusal(ErrorCode::LoadFailed, replica.id, "its model isn't loaded", retryWhenBusy));
        if (model->stage == ReplicaStage::Loaded) {
            setStage(replica, ReplicaStage::Claiming);
            startClaim(replica, ClaimKind::New);
        }
        return;
    }
    case ReplicaStage::Claiming:
        return startClaim(replica, ClaimKind::New);
    case ReplicaStage::WaitingForMemory:
        return;
    case ReplicaStage::Loading:
        if (!replica.isClaimed)
            return startClaim(replica, ClaimKind::Adopted);
        if (!replica.isOrdered)
            startLoadOrder(replica);
        return;
    case ReplicaStage::Loaded:
        return stepLoaded(replica);
    case ReplicaStage::Draining:
        if (!replica.id.isAdapter())
            drainAdapters(replica.id.model, "model");
        if (replica.uses > 0 || (!replica.id.isAdapter() && hasAdapters(replica.id.model)))
            return;
        return setStage(replica, ReplicaStage::Unloading);
    case ReplicaStage::Unloading:
    case ReplicaStage::Settling:
        if (!replica.isClaimed)
            return startClaim(replica, ClaimKind::Adopted);
        if (!replica.isOrdered)
            startUnloadOrder(replica);
        return;
    case ReplicaStage::Releasing:
        return startRelease(replica);
    }
}

void ReplicaController::stepLoaded(Replica& replica)
{
    if (!replica.isClaimed)
        return startClaim(replica, ClaimKind::Adopted);
    if (replica.needsConfirm)
        return startConfirm(replica);
    if (replica.needsCountCheck)
        startCountCheck(replica);
}

void ReplicaController::admitWaitingLoads(SteadyTime now)
{
    std::vector<Replica*> waiting;
    for (auto& [id, replica] : replicas_) {
        if (replica.stage == ReplicaStage::WaitingForMemory && !replica.isBusy)
            waiting.push_back(&replica);
    }
    std::sort(waiting.begin(), waiting.end(),
        [](const Replica* one, const Replica* other) { return one->stageEnteredAt < other->stageEnteredAt; });
    for (Replica* replica : waiting) {
        // Loads are admitted in the order in which they began to wait; otherwise small loads could keep a large one
        // waiting forever.
        if (!tryAdmitLoad(*replica, now))
            return;
    }
}

/// Returns false if the load has to wait until other replicas are unloaded.
bool ReplicaController::tryAdmitLoad(Replica& replica, SteadyTime now)
{
    if (!isRequested(replica)) {
        failLoad(replica, refusal(ErrorCode::DeadlinePassed, replica.id, "nobody waits any more", retryWhenBusy));
        return true;
    }
    if (!hasRequiredModel(replica.id)) {
        failLoad(replica, refusal(ErrorCode::NotReady, replica.id, "its model is being unloaded", retryWhenBusy));
        return true;
    }
    if (account_.reserve(replica.id, replica.memory)) {
        setStage(replica, ReplicaStage::Loading);
        step(replica, now);
        return true;
    }
    const std::uint64_t beingFreed = memoryBeingFreed();
    const std::uint64_t free = account_.available().value() + beingFreed;
    if (free >= replica.memory.value())
        return false;
    const auto chosen = victims(MebiBytes(replica.memory.value() - free), replica.id);
    if (chosen.empty() && beingFreed == 0) {
        failLoad(replica, refusal(ErrorCode::MemoryShort, replica.id, "all memory is in use", retryWhenFull));
        return true;
    }
    for (const ReplicaId& id : chosen) {
        drain(*find(id), "memory");
        step(*find(id), now);
    }
    return false;
}

void ReplicaController::unloadIdle(SteadyTime now)
{
    const std::vector<policy::LoadedReplica> views = loadedViews(now);
    for (const std::size_t index : policy::expiredReplicas(*keepWarm_, views, account_.total(), now))
        drain(*find({ views[index].model, views[index].adapter }), "idle");
}

/// Policy views of all loaded replicas; those that can't be unloaded yet are shown as running.
std::vector<policy::LoadedReplica> ReplicaController::loadedViews(SteadyTime now) const
{
    std::vector<policy::LoadedReplica> views;
    for (const auto& [id, replica] : replicas_) {
        if (replica.stage != ReplicaStage::Loaded)
            continue;
        views.push_back(viewOf(replica));
        if (!mayExpire(replica, now))
            views.back().running = std::max<std::uint32_t>(1, views.back().running);
    }
    return views;
}

bool ReplicaController::mayExpire(const Replica& replica, SteadyTime now) const
{
    if (!replica.isClaimed || replica.isBusy)
        return false;
    if (!replica.id.isAdapter() && hasAdaptersInTransition(replica.id.model))
        return false;
    // Prevents repeated loads that serve no request: the callers that a replica was loaded for learn of the load only
    // now, and where loads are short the policy would unload the replica before their requests arrive.
    return replica.wasUsed || Deadline::after(replica.stageEnteredAt, firstUseGrace).hasPassed(now);
}

void ReplicaController::expireWaiters(SteadyTime now)
{
    for (auto& [id, replica] : replicas_) {
        std::vector<LoadWaiter> expired;
        auto& waiters = replica.waiters;
        const auto firstExpired = std::stable_partition(
            waiters.begin(), waiters.end(), [&](const LoadWaiter& waiter) { return !waiter.deadline.hasPassed(now); });
        std::move(firstExpired, waiters.end(), std::back_inserter(expired));
        waiters.erase(firstExpired, waiters.end());
        for (const LoadWaiter& waiter : expired)
            waiter.done(refusal(ErrorCode::DeadlinePassed, id, stageText(replica.stage), retryWhenBusy));
        // Otherwise the adapter's model would still count as requested, keep its claim and block other loads that wait
        // for memory.
        if (replica.stage == ReplicaStage::WaitingForModel && waiters.empty())
            failLoad(replica, refusal(ErrorCode::DeadlinePassed, id, "nobody waits any more", retryWhenBusy));
    }
}

/// Drains a loaded replica that the bundle no longer assigns to this pool, or whose version it has changed.
void ReplicaController::drainIfOutdated(Replica& replica)
{
    if (!bundle_ || replica.stage != ReplicaStage::Loaded)
        return;
    const bundle::Model* model = bundle_->model(replica.id.model);
    const auto weights = weightsOf(replica.id);
    const bool isServedHere
        = model && weights && std::find(model->pools.begin(), model->pools.end(), settings_.pool) != model->pools.end();
    if (!isServedHere)
        return drain(replica, "not_decided");
    if (weights->version == replica.version)
        return;
    // The claim is kept: the new version is loaded under it once the old one is unloaded.
    replica.reloadsAfterUnload = true;
    drain(replica, "new_version");
}

void ReplicaController::drain(Replica& replica, const std::string& reason)
{
    if (replica.stage != ReplicaStage::Loaded)
        return;
    ports_.metrics->count("lagoon_unloads_total", { { "reason", reason } });
    framework::logInfo("agent", "unloading " + replicaText(replica.id) + ": " + reason);
    setStage(replica, ReplicaStage::Draining);
    if (!replica.id.isAdapter())
        drainAdapters(replica.id.model, reason);
}

/// Skips adapters that are still loading. While the model is draining, `step` repeats this to drain them once loaded.
void ReplicaController::drainAdapters(const framework::ModelName& model, const std::string& reason)
{
    for (auto& [id, replica] : replicas_) {
        if (id.isAdapter() && id.model == model)
            drain(replica, reason);
    }
}

void ReplicaController::failLoad(Replica& replica, const Error& error)
{
    ports_.metrics->count(
        "lagoon_loads_failed_total", { { "code", std::string(framework::errorCodeText(error.code)) } });
    framework::logWarning("agent", "load of " + replicaText(replica.id) + " failed: " + framework::describe(error));
    const std::vector<LoadWaiter> waiters = std::exchange(replica.waiters, {});
    replica.reloadsAfterUnload = false;
    if (replica.mayArriveLate)
        setStage(replica, ReplicaStage::Settling);
    else
        startReleasing(replica);
    for (const LoadWaiter& waiter : waiters)
        waiter.done(error);
    if (replica.id.isAdapter())
        return;
    for (auto& [id, other] : replicas_) {
        if (id.model == replica.id.model && other.stage == ReplicaStage::WaitingForModel)
            failLoad(other, error);
    }
}

void ReplicaController::startReleasing(Replica& replica)
{
    account_.free(replica.id);
    setStage(replica, ReplicaStage::Releasing);
}

void ReplicaController::handleLoaded(Replica& replica, SteadyTime now)
{
    if (replica.isOrdered) {
        const auto took = std::chrono::duration_cast<Milliseconds>(now - replica.orderedAt);
        loadTimes_.record(replicaText(replica.id), locationOf(replica.id), replica.memory, took, now);
        ports_.metrics->observeSeconds(
            "lagoon_load_seconds", std::chrono::duration<double>(now - replica.orderedAt).count());
        ports_.metrics->count("lagoon_loads_total");
    }
    framework::logInfo("agent", "loaded " + replicaText(replica.id));
    setStage(replica, ReplicaStage::Loaded);
    replica.lastUsed = now;
    replica.loadTime = expectedReloadTime(replica);
    replica.gaps = gaps_.gaps(replica.id);
    replica.wasUsed = false;
    replica.needsConfirm = true;
    replica.mayArriveLate = false;
    replica.reloadsAfterUnload = false;
    const std::vector<LoadWaiter> waiters = std::exchange(replica.waiters, {});
    for (const LoadWaiter& waiter : waiters)
        waiter.done(std::nullopt);
    drainIfOutdated(replica);
}

void ReplicaController::handleUnloaded(Replica& replica)
{
    if (replica.mayArriveLate) {
        setStage(replica, ReplicaStage::Settling);
        return;
    }
    const auto weights = weightsOf(replica.id);
    const bool willReload
        = weights && replica.isClaimed && !isDraining_ && (replica.reloadsAfterUnload || !replica.waiters.empty());
    if (!willReload) {
        startReleasing(replica);
        return;
    }
    // Fails now rather than queueing an adapter behind a load that waits for the memory of the adapter's own model.
    if (!hasRequiredModel(replica.id))
        return failLoad(
            replica, refusal(ErrorCode::NotReady, replica.id, "its model is being unloaded", retryWhenBusy));
    account_.free(replica.id);
    replica.version = weights->version;
    replica.memory = weights->memory;
    setStage(replica, ReplicaStage::WaitingForMemory);
}

void ReplicaController::setStage(Replica& replica, ReplicaStage stage)
{
    replica.stage = stage;
    replica.stageEnteredAt = ports_.clock.now();
    replica.isOrdered = false;
    replica.absences = 0;
    replica.failedTries = 0;
    replica.retryAt = Deadline();
}

Replica& ReplicaController::add(const ReplicaId& id, const Weights& weights, ReplicaStage stage)
{
    Replica& replica = replicas_[id];
    replica.id = id;
    replica.version = weights.version;
    replica.memory = weights.memory;
    replica.nonce = framework::newNonce();
    replica.lastUsed = ports_.clock.now();
    setStage(replica, stage);
    return replica;
}

Replica* ReplicaController::find(const ReplicaId& id)
{
    const auto found = replicas_.find(id);
    return found == replicas_.end() ? nullptr : &found->second;
}

const Replica* ReplicaController::find(const ReplicaId& id) const
{
    const auto found = replicas_.find(id);
    return found == replicas_.end() ? nullptr : &found->second;
}

bool ReplicaController::hasAdaptersInTransition(const framework::ModelName& model) const
{
    return std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
        const ReplicaStage stage = entry.second.stage;
        return entry.first.isAdapter() && entry.first.model == model && stage != ReplicaStage::Loaded
            && stage != ReplicaStage::Releasing;
    });
}

/// The mean of the load times from the checkpoint's current location and from disk (or the current location if that is
/// slower): by the time of the reload, other checkpoints may have displaced it from the memory cache.
Milliseconds ReplicaController::expectedReloadTime(const Replica& replica) const
{
    const auto from = [&](policy::CheckpointLocation location) {
        return loadTimes_.estimate(replicaText(replica.id), location, replica.memory, ports_.clock.now()).typical;
    };
    const policy::CheckpointLocation present = locationOf(replica.id);
    return (from(present) + from(std::max(present, policy::CheckpointLocation::Disk))) / 2;
}

void ReplicaController::publishMetrics(SteadyTime now)
{
    const double seconds = std::chrono::duration<double>(now - publishedAt_).count();
    publishedAt_ = now;
    std::uint64_t idle = 0;
    std::size_t loaded = 0;
    for (const auto& [id, replica] : replicas_) {
        if (replica.stage != ReplicaStage::Loaded)
            continue;
        ++loaded;
        if (replica.uses == 0)
            idle += replica.memory.value();
    }
    const auto total = static_cast<double>(std::max<std::uint64_t>(1, account_.total().value()));
    ports_.metrics->count(
        "lagoon_idle_accelerator_seconds_total", {}, std::max(0.0, seconds) * static_cast<double>(idle) / total);
    ports_.metrics->setGauge("lagoon_replicas_loaded", static_cast<double>(loaded));
    ports_.metrics->setGauge("lagoon_accelerator_memory_used_mebibytes", static_cast<double>(account_.used().value()));
    ports_.metrics->setGauge(
        "lagoon_accelerator_memory_free_mebibytes", static_cast<double>(account_.available().value()));
}

} // namespace lagoon::agent
