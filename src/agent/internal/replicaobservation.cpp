#include "agent/internal/replicacontroller.h"

#include "framework/logging.h"

#include <algorithm>
#include <set>

/// Polls the engine's state and updates the stages of the replicas from it.
namespace lagoon::agent {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Milliseconds;
using framework::SteadyTime;

constexpr Milliseconds transitionPollInterval { 50 };
constexpr Milliseconds steadyPollInterval { 1000 };
constexpr Milliseconds stateCallTimeout { 2000 };
/// A single state may be older than an order that was accepted while the state was being produced.
constexpr std::uint32_t absencesUntilGone = 2;
/// An accepted unload that doesn't show in the engine's state after this time is ordered again.
constexpr Milliseconds unloadRetryInterval { 2000 };

} // namespace

void ReplicaController::pollEngine()
{
    pollTimer_.reset();
    if (isPolling_)
        return;
    isPolling_ = true;
    const SteadyTime requestedAt = ports_.clock.now();
    ports_.engineWork([this, engine = ports_.engine, requestedAt] {
        auto state = engine->state(Deadline::after(requestedAt, stateCallTimeout));
        ports_.control.post([this, state = std::move(state), requestedAt] {
            isPolling_ = false;
            engineFailures_ = state.has_value() ? 0 : engineFailures_ + 1;
            if (state.has_value())
                observe(state.value(), requestedAt);
            else
                ports_.metrics->count("lagoon_engine_state_failures_total");
            // Keeps `advance` from starting another poll, since the next one is scheduled below.
            isPollingFast_ = true;
            advance();
            isPollingFast_ = isInTransition();
            const Milliseconds wait = isPollingFast_ ? transitionPollInterval : steadyPollInterval;
            pollTimer_ = ports_.control.runAt(Deadline::after(ports_.clock.now(), wait), [this] { pollEngine(); });
        });
    });
}

void ReplicaController::observe(const EngineState& state, SteadyTime requestedAt)
{
    if (hasEngineState_ && state.incarnation != engineState_.incarnation)
        handleEngineRestart();
    account_.setTotal(state.memory);
    engineState_ = state;
    hasEngineState_ = true;
    std::set<ReplicaId> present;
    for (const EngineReplica& replica : state.replicas) {
        present.insert(replica.checkpoint.replica);
        observePresent(replica);
    }
    for (auto& [id, replica] : replicas_) {
        if (present.count(id) == 0)
            observeAbsent(replica, requestedAt);
    }
}

/// A restarted engine is empty, so a replica missing from its first state counts as gone.
void ReplicaController::handleEngineRestart()
{
    framework::logWarning("agent", "the engine has restarted");
    ports_.metrics->count("lagoon_engine_restarts_total");
    ports_.didRestartEngine();
    for (auto& [id, replica] : replicas_)
        replica.absences = absencesUntilGone;
}

void ReplicaController::observePresent(const EngineReplica& seen)
{
    const ReplicaId& id = seen.checkpoint.replica;
    Replica* replica = find(id);
    if (replica && replica->stage == ReplicaStage::Releasing) {
        // The load order arrived later than the settling time allows for. The engine's state takes precedence.
        ports_.metrics->count("lagoon_late_loads_total");
        replica->isClaimed = false;
    }
    const bool isUnexpected
        = !replica || replica->stage == ReplicaStage::Settling || replica->stage == ReplicaStage::Releasing;
    if (isUnexpected && !(replica && replica->isBusy))
        replica = &adopt(replica, seen);
    if (!replica)
        return;
    account_.setReservation(id, seen.memory);
    replica->absences = 0;
    handleReportedLoaded(*replica, seen);
}

/// Takes over a replica that the engine has without a pending order of this process: it was ordered by a previous
/// process, or by an order that arrived late.
Replica& ReplicaController::adopt(Replica* known, const EngineReplica& seen)
{
    const SteadyTime now = ports_.clock.now();
    Replica& replica = known
        ? *known
        : add(seen.checkpoint.replica, { seen.checkpoint.version, seen.memory }, ReplicaStage::Loading);
    setStage(replica, ReplicaStage::Loading);
    replica.version = seen.checkpoint.version;
    replica.memory = seen.memory;
    // The replica needs no order from this process. How long it has been loading isn't known.
    replica.isOrdered = true;
    replica.orderedAt = now;
    if (seen.state == EngineReplicaState::Loaded) {
        replica.isOrdered = false;
        handleLoaded(replica, now);
    } else if (seen.state == EngineReplicaState::Unloading) {
        setStage(replica, ReplicaStage::Unloading);
    }
    return replica;
}

/// Updates a replica that the engine reports as loaded: completes its load, or has an overdue unload ordered again.
void ReplicaController::handleReportedLoaded(Replica& replica, const EngineReplica& seen)
{
    if (seen.state != EngineReplicaState::Loaded)
        return;
    const SteadyTime now = ports_.clock.now();
    if (replica.stage == ReplicaStage::Loading && (replica.isOrdered || replica.isClaimed))
        handleLoaded(replica, now);
    else if (replica.stage == ReplicaStage::Unloading && replica.isOrdered
        && now - replica.orderedAt > unloadRetryInterval)
        replica.isOrdered = false;
}

void ReplicaController::observeAbsent(Replica& replica, SteadyTime requestedAt)
{
    switch (replica.stage) {
    case ReplicaStage::Loading:
    case ReplicaStage::Unloading:
        // Only a state that was requested after the order was accepted shows the order's outcome.
        if (!replica.isOrdered || requestedAt <= replica.orderedAt || ++replica.absences < absencesUntilGone)
            return;
        if (replica.stage == ReplicaStage::Unloading)
            return handleUnloaded(replica);
        return failLoad(
            replica, Error { ErrorCode::LoadFailed, "load", replicaText(replica.id), "the engine gave it up" });
    case ReplicaStage::Loaded:
    case ReplicaStage::Draining:
        if (replica.isBusy || ++replica.absences < absencesUntilGone)
            return;
        ports_.metrics->count("lagoon_replicas_vanished_total");
        framework::logWarning("agent", replicaText(replica.id) + " is gone from the engine");
        return startReleasing(replica);
    case ReplicaStage::Settling:
        if (!replica.isOrdered || requestedAt <= replica.settlingEndsAt.at())
            return;
        replica.mayArriveLate = false;
        return handleUnloaded(replica);
    case ReplicaStage::WaitingForModel:
    case ReplicaStage::Claiming:
    case ReplicaStage::WaitingForMemory:
    case ReplicaStage::Releasing:
        return;
    }
}

} // namespace lagoon::agent
