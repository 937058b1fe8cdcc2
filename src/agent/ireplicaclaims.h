#pragma once

#include "agent/types/replicaid.h"
#include "bundle/replicaobject.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoon::agent {

enum class ClaimKind : std::uint8_t {
    New, ///< for a load that is yet to be ordered; within the decided count
    /// For a replica that the engine has, or may get by a former process's order. The object must say so whatever the
    /// count is; it is then for `isOverCount` to tell who has to go.
    Adopted,
};

/// This VM's claims to replicas, kept in the platform's replica objects. Calls block; never make them on the control
/// thread. Thread-safe. Errors with `Execution::Unknown` may have taken effect.
class IReplicaClaims {
public:
    virtual ~IReplicaClaims() = default;
    /// Claims a replica for this VM and returns the claim's fencing number. A claim that a former process on this VM
    /// left is taken over.
    virtual framework::Result<framework::FencingToken> claim(
        const ReplicaId&, const std::string& nonce, ClaimKind, const bundle::DecidedCount&, framework::Deadline)
        = 0;
    /// Notes the engine's confirmation; `PlatformConflict` if the claim isn't this process's any more.
    virtual framework::Result<void> confirm(const ReplicaId&, const std::string& nonce, framework::Deadline) = 0;
    /// Gives up the claim, if it is this process's. Only after the engine can't have the replica any more.
    virtual framework::Result<void> release(const ReplicaId&, const std::string& nonce, framework::Deadline) = 0;
    /// Whether this VM's replica has to go: its claim was released by an operator, or is over the count, by which the
    /// last holders go first.
    virtual framework::Result<bool> isOverCount(const ReplicaId&, const bundle::DecidedCount&, framework::Deadline) = 0;
    /// All replicas that this VM holds claims to, whichever process wrote them.
    virtual framework::Result<std::vector<ReplicaId>> held(framework::Deadline) = 0;
};

} // namespace lagoon::agent
