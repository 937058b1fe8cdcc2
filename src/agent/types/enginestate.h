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

/// Where the engine has cached a checkpoint. Checkpoints that aren't listed are in remote storage only.
struct CachedCheckpoint {
    Checkpoint checkpoint;
    policy::CheckpointLocation location = policy::CheckpointLocation::Remote;
};

/// State reported by a model engine.
struct EngineState {
    /// Changes when the engine restarts, which leaves it without replicas.
    std::uint64_t incarnation = 0;
    framework::MebiBytes memory;
    std::vector<EngineReplica> replicas;
    std::vector<CachedCheckpoint> checkpoints;
};

} // namespace lagoon::agent
