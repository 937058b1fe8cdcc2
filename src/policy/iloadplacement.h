#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lagoon::policy {

/// Where an upstream has a checkpoint.
enum class CheckpointLocation : std::uint8_t { Memory, Disk, Remote };

/// An agent's answer to "could you load this?".
struct LoadBid {
    framework::VmName vm;
    bool canLoad = false;
    framework::ErrorCode refusal = framework::ErrorCode::NoCapacity;
    framework::MebiBytes freeMemory;
    /// Memory of replicas that would be unloaded first; 0 if it fits as it is.
    framework::MebiBytes evictedMemory;
    /// How long the most recently used of them has been idle.
    framework::Milliseconds victimIdle { 0 };
    CheckpointLocation checkpoint = CheckpointLocation::Remote;
    framework::Milliseconds expectedLoad { 0 };
    std::uint32_t running = 0;
};

/// Chooses who loads.
class ILoadPlacement {
public:
    virtual ~ILoadPlacement() = default;
    /// Index into the bids, which come in rendezvous order of (model, VM); nothing if none can load.
    virtual std::optional<std::size_t> choose(const std::vector<LoadBid>&) const = 0;
};

} // namespace lagoon::policy
