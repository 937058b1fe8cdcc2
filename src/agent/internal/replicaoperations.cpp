#include "agent/internal/replicacontroller.h"

#include "framework/logging.h"
#include "framework/randomid.h"

#include <algorithm>

/// The controller's calls to the platform and the engine. They block, so they run on other threads. A replica has at
/// most one call in progress, whose result is handled on the control thread.
namespace lagoon::agent {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::FencingToken;
using framework::Milliseconds;
using framework::Result;
using framework::SteadyTime;

constexpr Milliseconds platformUpdateTimeout { 5000 };
/// A site has thousands of objects, and a process may read some tens of them per second.
constexpr Milliseconds claimsReadTimeout { 300000 };
constexpr Milliseconds orderCallTimeout { 5000 };
constexpr Milliseconds initialRetryDelay { 100 };
constexpr Milliseconds maxRetryDelay { 5000 };
constexpr std::uint32_t maxDoublings = 6;
constexpr std::uint32_t maxLoadOrders = 20;

/// Exponential backoff. The jitter of up to half the delay prevents agents from calling a recovering platform in step.
Milliseconds retryDelay(std::uint32_t failedTries)
{
    const std::uint32_t doublings = std::min(failedTries, maxDoublings);
    const Milliseconds wait = std::min(maxRetryDelay, initialRetryDelay * (1U << doublings));
    return wait + Milliseconds(static_cast<long>(static_cast<double>(wait.count()) / 2 * framework::randomFraction()));
}

} // namespace

void ReplicaController::finishCall(const ReplicaId& id, const std::function<void(Replica&)>& onResult)
{
    Replica* replica = find(id);
    if (!replica)
        return;
    replica->isBusy = false;
    onResult(*replica);
    advance();
}

template <typename Value>
void ReplicaController::callPlatform(
    Replica& replica, std::function<Result<Value>()> call, std::function<void(Replica&, const Result<Value>&)> onResult)
{
    replica.isBusy = true;
    ports_.platformWork([this, id = replica.id, call = std::move(call), onResult = std::move(onResult)] {
        Result<Value> result = call();
        ports_.control.post([this, id, onResult, result = std::move(result)] {
            finishCall(id, [&](Replica& found) { onResult(found, result); });
        });
    });
}

void ReplicaController::callEngine(
    Replica& replica, std::function<Result<void>()> call, std::function<void(Replica&, const Result<void>&)> onResult)
{
    replica.isBusy = true;
    ports_.engineWork([this, id = replica.id, call = std::move(call), onResult = std::move(onResult)] {
        Result<void> result = call();
        ports_.control.post([this, id, onResult, result = std::move(result)] {
            finishCall(id, [&](Replica& found) { onResult(found, result); });
        });
    });
}

void ReplicaController::retryLater(Replica& replica, const std::string& reason)
{
    ports_.metrics->count("lagoon_retries_total", { { "reason", reason } });
    replica.retryAt = Deadline::after(ports_.clock.now(), retryDelay(replica.failedTries));
    ++replica.failedTries;
}

void ReplicaController::readClaims()
{
    claimsTimer_.reset();
    const Deadline deadline = Deadline::after(ports_.clock.now(), claimsReadTimeout);
    ports_.platformWork([this, claims = ports_.claims, deadline] {
        auto held = claims->held(deadline);
        ports_.control.post([this, held = std::move(held)] {
            if (held.has_value()) {
                handleClaims(held.value());
                return;
            }
            ports_.metrics->count("lagoon_retries_total", { { "reason", "read_claims" } });
            // The delay is always 0.8 to 1.2 s, since failed reads of the claims aren't counted.
            const Deadline retryAt = Deadline::after(ports_.clock.now(), retryDelay(maxDoublings / 2));
            claimsTimer_ = ports_.control.runAt(retryAt, [this] { readClaims(); });
        });
    });
}

void ReplicaController::handleClaims(const std::vector<ReplicaId>& held)
{
    if (!hasEngineState_) {
        // The engine's state must be read first. Otherwise each of its replicas would look as if its load order were
        // yet to arrive.
        const Deadline retryAt = Deadline::after(ports_.clock.now(), initialRetryDelay);
        claimsTimer_ = ports_.control.runAt(retryAt, [this, held] { handleClaims(held); });
        return;
    }
    hasReadClaims_ = true;
    for (const ReplicaId& id : held) {
        if (find(id))
            continue;
        const auto weights = weightsOf(id);
        // A replica of unknown size may need the whole memory, so nothing else is loaded until it has settled.
        const Weights reserved
            = weights ? *weights : Weights { framework::WeightsVersion("unknown"), account_.total() };
        add(id, reserved, ReplicaStage::Settling).mayArriveLate = true;
        account_.setReservation(id, reserved.memory);
    }
    framework::logInfo("agent", "adopted " + std::to_string(held.size()) + " claims of a former process");
    advance();
}

void ReplicaController::startClaim(Replica& replica, ClaimKind kind)
{
    Deadline deadline = Deadline::after(ports_.clock.now(), platformUpdateTimeout);
    for (const LoadWaiter& waiter : replica.waiters)
        deadline = std::max(deadline, waiter.deadline);
    callPlatform<FencingToken>(
        replica,
        [claims = ports_.claims, id = replica.id, nonce = replica.nonce, kind, decided = decidedCount(replica.id),
            deadline] { return claims->claim(id, nonce, kind, decided, deadline); },
        [this, kind](Replica& claimed, const Result<FencingToken>& fence) {
            if (fence.has_value()) {
                claimed.isClaimed = true;
                claimed.fence = fence.value();
                claimed.failedTries = 0;
                if (kind == ClaimKind::Adopted)
                    claimed.needsCountCheck = true;
                else
                    setStage(claimed, ReplicaStage::WaitingForMemory);
                return;
            }
            if (kind == ClaimKind::Adopted)
                return retryLater(claimed, "adopt_claim");
            // An update whose answer was lost may have taken effect, so there may be a claim to release.
            claimed.isClaimed = fence.error().execution == Execution::Unknown;
            failLoad(claimed, fence.error());
        });
}

void ReplicaController::startConfirm(Replica& replica)
{
    const Deadline deadline = Deadline::after(ports_.clock.now(), platformUpdateTimeout);
    callPlatform<void>(
        replica,
        [claims = ports_.claims, id = replica.id, nonce = replica.nonce, deadline] {
            return claims->confirm(id, nonce, deadline);
        },
        [this](Replica& confirmed, const Result<void>& result) {
            if (result.has_value()) {
                confirmed.needsConfirm = false;
                return;
            }
            if (result.error().code != ErrorCode::PlatformConflict)
                return retryLater(confirmed, "confirm_claim");
            // An operator released the claim by force. The agent that takes the slot relies on it being free.
            ports_.metrics->count("lagoon_claims_lost_total");
            confirmed.needsConfirm = false;
            drain(confirmed, "claim_lost");
        });
}

void ReplicaController::startCountCheck(Replica& replica)
{
    const Deadline deadline = Deadline::after(ports_.clock.now(), platformUpdateTimeout);
    callPlatform<bool>(
        replica,
        [claims = ports_.claims, id = replica.id, decided = decidedCount(replica.id), deadline] {
            return claims->isOverCount(id, decided, deadline);
        },
        [this](Replica& checked, const Result<bool>& isOver) {
            if (isOver.has_error())
                return retryLater(checked, "check_count");
            checked.needsCountCheck = false;
            if (isOver.value())
                drain(checked, "count_lowered");
        });
}

void ReplicaController::startRelease(Replica& replica)
{
    if (!replica.isClaimed) {
        replicas_.erase(replica.id);
        return;
    }
    const Deadline deadline = Deadline::after(ports_.clock.now(), platformUpdateTimeout);
    callPlatform<void>(
        replica,
        [claims = ports_.claims, id = replica.id, nonce = replica.nonce, deadline] {
            return claims->release(id, nonce, deadline);
        },
        [this](Replica& released, const Result<void>& result) {
            // The platform may be down for a long time. This agent has to release its claim, so the replica stays
            // listed until the release succeeds.
            if (result.has_error())
                return retryLater(released, "release_claim");
            released.isClaimed = false;
            released.nonce = framework::newNonce();
            if (released.waiters.empty() || !weightsOf(released.id)) {
                replicas_.erase(ReplicaId(released.id));
                return;
            }
            released.version = weightsOf(released.id)->version;
            released.memory = weightsOf(released.id)->memory;
            if (released.id.isAdapter())
                return addPendingModel(released.id);
            setStage(released, ReplicaStage::Claiming);
        });
}

void ReplicaController::startLoadOrder(Replica& replica)
{
    const SteadyTime now = ports_.clock.now();
    callEngine(
        replica,
        [engine = ports_.engine, order = orderFor(replica), deadline = Deadline::after(now, orderCallTimeout)] {
            return engine->load(order, deadline);
        },
        [this, now](Replica& ordered, const Result<void>& result) { handleLoadAnswer(ordered, result, now); });
}

void ReplicaController::handleLoadAnswer(Replica& replica, const Result<void>& result, SteadyTime sentAt)
{
    if (replica.stage != ReplicaStage::Loading)
        return;
    if (result.has_value()) {
        replica.isOrdered = true;
        replica.orderedAt = sentAt;
        return;
    }
    const Error& error = result.error();
    if (error.code == ErrorCode::Fenced) {
        // Another claim of this replica has been written since; claiming again gives a newer fencing token.
        setStage(replica, ReplicaStage::Claiming);
        return retryLater(replica, "stale_fence");
    }
    const bool isLost = error.execution == Execution::Unknown;
    replica.mayArriveLate = replica.mayArriveLate || isLost;
    const bool isUnanswered = error.code == ErrorCode::UpstreamFailed;
    if (!isUnanswered || replica.failedTries >= maxLoadOrders)
        return failLoad(replica, error);
    // Repeating the order is harmless, whether or not the engine accepted the first one.
    retryLater(replica, "load_order");
}

void ReplicaController::startUnloadOrder(Replica& replica)
{
    const SteadyTime now = ports_.clock.now();
    callEngine(
        replica,
        [engine = ports_.engine, order = orderFor(replica), deadline = Deadline::after(now, orderCallTimeout)] {
            return engine->unload(order, deadline);
        },
        [this](Replica& ordered, const Result<void>& result) { handleUnloadAnswer(ordered, result); });
}

/// While a replica settles, the engine may still read a load order after this unload order: an order of a previous
/// process, or one whose answer was lost. If memory or claim were freed immediately, the late load would overcommit the
/// accelerator or exceed the replica cap. An engine that checks fencing tokens refuses the late order, since this
/// unload carries the newer token of the claim that was taken over. For an engine that ignores tokens, the answer to
/// this unload and a settling time have to suffice. This relies on the engine's machine not keeping unread bytes of a
/// closed connection for longer than the settling time.
void ReplicaController::handleUnloadAnswer(Replica& replica, const Result<void>& result)
{
    if (result.has_error() && result.error().code == ErrorCode::Fenced)
        replica.isClaimed = false;
    // An engine also answers "not loaded" for a replica in use. Its state then still lists the replica, and the order
    // is repeated.
    const bool isAnswered = result.has_value() || result.error().code == ErrorCode::NotLoaded;
    if (!isAnswered)
        return retryLater(replica, "unload_order");
    const SteadyTime answeredAt = ports_.clock.now();
    replica.isOrdered = true;
    replica.orderedAt = answeredAt;
    const Milliseconds settling = settings_.checksFencing ? Milliseconds(0) : settings_.settling;
    replica.settlingEndsAt = Deadline::after(answeredAt, settling);
}

} // namespace lagoon::agent
