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

/// The life of a replica on this VM, in the usual order.
enum class ReplicaStage : std::uint8_t {
    WaitingForModel, ///< an adapter whose model is loaded first
    Claiming, ///< the platform is asked for a place under the replica cap
    WaitingForMemory, ///< others are unloaded to make room
    Loading,
    Loaded,
    Draining, ///< takes no new requests; unloaded when the last has ended
    Unloading,
    /// The engine doesn't have it, but an order whose answer was lost, or a former process's, may still be on its way
    /// there. Claim and memory stay taken until that is excluded.
    Settling,
    Releasing, ///< gone from the engine; the claim is given up, again and again until the platform has it
};

std::string stageText(ReplicaStage);

/// Called once: nothing if it is loaded, or why not.
using LoadDone = std::function<void(const std::optional<framework::Error>&)>;

struct LoadWaiter {
    framework::Deadline deadline;
    LoadDone done;
};

/// A replica as its controller knows it.
struct Replica {
    ReplicaId id;
    framework::WeightsVersion version;
    framework::MebiBytes memory;
    ReplicaStage stage = ReplicaStage::Claiming;

    /// A call to the platform or the engine is under way for it; there is never a second.
    bool isBusy = false;
    framework::Deadline retryAt;
    std::uint32_t failedTries = 0;

    bool isClaimed = false;
    std::string nonce;
    framework::FencingNumber fence;
    bool needsConfirm = false;
    bool needsCountCheck = false;

    /// The engine has accepted this stage's order.
    bool isOrdered = false;
    framework::SteadyTime orderedAt {};
    /// An order's answer was lost.
    bool mayArriveLate = false;
    framework::Deadline settlingEndsAt;
    /// States in a row that lack it.
    std::uint32_t absences = 0;
    bool reloadsAfterUnload = false;

    framework::SteadyTime stageEnteredAt {};
    std::uint32_t uses = 0;
    /// Since it was loaded.
    bool wasUsed = false;
    framework::SteadyTime lastUsed {};
    std::vector<framework::SteadyTime> recentUses;
    /// What its next load is expected to take; see `policy::LoadedReplica`.
    framework::Milliseconds loadTime { 0 };
    /// As of its last use, with the prior.
    policy::IdleGaps gaps;
    std::vector<LoadWaiter> waiters;

    bool isBeingLoaded() const { return stage <= ReplicaStage::Loading; }
};

} // namespace lagoon::agent
