#pragma once

#include "agent/types/replicaid.h"
#include "framework/types/error.h"
#include "framework/types/time.h"
#include "policy/idlegaps.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::agent {

/// Stages of a replica on this VM, in their usual order.
enum class ReplicaStage : std::uint8_t {
    WaitingForModel, ///< an adapter that waits until its model is loaded
    Claiming, ///< a claim within the replica cap is requested from the platform
    WaitingForMemory, ///< other replicas are unloaded to free memory
    Loading,
    Loaded,
    Draining, ///< accepts no new requests; unloaded when the last one has ended
    Unloading,
    /// The engine doesn't have the replica, but an order whose answer was lost, or an order of a previous process, may
    /// still reach the engine. Claim and memory stay reserved until that is ruled out.
    Settling,
    Releasing, ///< gone from the engine; the claim's release is retried until the platform has accepted it
};

std::string stageText(ReplicaStage);

/// Called once: with std::nullopt if the replica is loaded, else with the reason why it isn't.
using LoadDone = std::function<void(const std::optional<framework::Error>&)>;

struct LoadWaiter {
    framework::Deadline deadline;
    LoadDone done;
};

/// State of a replica, as tracked by its controller.
struct Replica {
    ReplicaId id;
    framework::WeightsVersion version;
    framework::MebiBytes memory;
    ReplicaStage stage = ReplicaStage::Claiming;

    /// A call to the platform or the engine is in progress for this replica; there is never more than one.
    bool isBusy = false;
    framework::Deadline retryAt;
    std::uint32_t failedTries = 0;

    bool isClaimed = false;
    std::string nonce;
    framework::FencingToken fence;
    /// The platform hasn't recorded yet that the claimed replica is loaded.
    bool needsConfirm = false;
    /// It hasn't been checked yet whether this VM's claim exceeds the decided count.
    bool needsCountCheck = false;

    /// The engine has accepted the order of the current stage.
    bool isOrdered = false;
    framework::SteadyTime orderedAt {};
    /// The engine may still receive a load order: its answer was lost, or a previous process may have sent one.
    bool mayArriveLate = false;
    framework::Deadline settlingEndsAt;
    /// Number of consecutive engine states that don't list the replica.
    std::uint32_t absences = 0;
    bool reloadsAfterUnload = false;

    framework::SteadyTime stageEnteredAt {};
    /// Number of requests that use the replica now.
    std::uint32_t uses = 0;
    /// Whether the replica was used since it was loaded.
    bool wasUsed = false;
    framework::SteadyTime lastUsed {};
    std::vector<framework::SteadyTime> recentUses;
    /// Expected duration of its next load; see `policy::LoadedReplica`.
    framework::Milliseconds loadTime { 0 };
    /// Idle gaps as of its last use, including the prior.
    policy::IdleGaps gaps;
    std::vector<LoadWaiter> waiters;

    bool isBeingLoaded() const { return stage <= ReplicaStage::Loading; }
};

} // namespace lagoon::agent
