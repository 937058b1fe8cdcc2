#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lagoon::policy {

/// Where an upstream reads a checkpoint from.
enum class CheckpointLocation : std::uint8_t { Memory, Disk, Remote };

/// An agent's answer to a router that asks whether it could load a target.
struct LoadBid {
    framework::VmName vm;
    bool canLoad = false;
    framework::ErrorCode refusal = framework::ErrorCode::NoCapacity;
    framework::MebiBytes freeMemory;
    /// Memory of the replicas that would have to be evicted first; 0 if the free memory suffices.
    framework::MebiBytes evictedMemory;
    /// How long the most recently used of the replicas to be evicted has been idle.
    framework::Milliseconds victimIdle { 0 };
    CheckpointLocation checkpoint = CheckpointLocation::Remote;
    framework::Milliseconds expectedLoad { 0 };
    std::uint32_t running = 0;
};

/// Chooses the upstream that loads a target.
class ILoadPlacement {
public:
    virtual ~ILoadPlacement() = default;
    /// Returns an index into the bids, std::nullopt if no bidder can load. The bids have to be in rendezvous order of
    /// (model, VM).
    virtual std::optional<std::size_t> choose(const std::vector<LoadBid>&) const = 0;
};

} // namespace lagoon::policy
