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
    New, ///< for a load that isn't ordered yet; the claim must be within the decided count
    /// For a replica that the engine has, or may still load by an order of a previous process. The claim is written
    /// whatever the decided count is; `isOverCount` then tells which replicas must be unloaded.
    Adopted,
};

/// This VM's claims to replicas, stored in the platform's replica objects. Calls block, so they must not be made on the
/// control thread. Thread-safe. A write that fails with `Execution::Unknown` may have taken effect.
class IReplicaClaims {
public:
    virtual ~IReplicaClaims() = default;
    /// Claims a replica for this VM and returns the claim's fencing token. Takes over a claim left by a previous
    /// process on this VM.
    virtual framework::Result<framework::FencingToken> claim(
        const ReplicaId&, const std::string& nonce, ClaimKind, const bundle::DecidedCount&, framework::Deadline)
        = 0;
    /// Records that the engine has loaded the replica. Fails with `PlatformConflict` if the claim is no longer owned by
    /// this process.
    virtual framework::Result<void> confirm(const ReplicaId&, const std::string& nonce, framework::Deadline) = 0;
    /// Releases the claim if this process owns it. Must only be called once the engine can't have the replica any more.
    virtual framework::Result<void> release(const ReplicaId&, const std::string& nonce, framework::Deadline) = 0;
    /// Whether this VM's replica must be unloaded: its claim was released by an operator, or there are more holders
    /// than the decided count and this VM is among the last ones.
    virtual framework::Result<bool> isOverCount(const ReplicaId&, const bundle::DecidedCount&, framework::Deadline) = 0;
    /// All replicas that this VM holds claims to, including claims written by previous processes.
    virtual framework::Result<std::vector<ReplicaId>> held(framework::Deadline) = 0;
};

} // namespace lagoon::agent
