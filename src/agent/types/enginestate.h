#pragma once

#include "agent/types/replicaid.h"
#include "policy/iloadplacement.h"

#include <cstdint>
#include <vector>

namespace lagoon::agent {

enum class EngineReplicaState : std::uint8_t { Loading, Loaded, Unloading };

struct EngineReplica {
    Checkpoint checkpoint;
    framework::MebiBytes memory;
    EngineReplicaState state = EngineReplicaState::Loading;
};

/// Where the engine has weights that it needn't fetch; what isn't listed is remote.
struct CachedCheckpoint {
    Checkpoint checkpoint;
    policy::CheckpointLocation place = policy::CheckpointLocation::Remote;
};

/// What a model engine says of itself.
struct EngineState {
    /// Changes when the engine starts anew, empty.
    std::uint64_t incarnation = 0;
    framework::MebiBytes memory;
    std::vector<EngineReplica> replicas;
    std::vector<CachedCheckpoint> checkpoints;
};

} // namespace lagoon::agent
