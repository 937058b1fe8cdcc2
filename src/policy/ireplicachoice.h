#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lagoon::policy {

/// A loaded replica as one router sees it.
struct ReplicaView {
    framework::VmName vm;
    /// Requests that this router has sent and that aren't answered yet.
    std::uint32_t ownInFlight = 0;
    /// As of the agent's last report, which lags behind.
    std::uint32_t reportedRunning = 0;
    std::uint32_t reportedWaiting = 0;
    /// Exponential moving average of the time to the first byte; 0 before the first answer.
    double firstByteSeconds = 0;
    /// When `firstByteSeconds` last changed. From then on a bad average decays, so that a recovered replica is tried
    /// again.
    framework::SteadyTime lastAnswer {};
    /// Whether the replica has failed or not responded lately. It is used only if all replicas are suspect.
    bool isSuspect = false;
};

/// Chooses among the warm replicas of a target.
class IReplicaChoice {
public:
    virtual ~IReplicaChoice() = default;
    /// Returns an index into the replicas, std::nullopt only if there are none. `prefixHash` is the hash of the
    /// prompt's beginning, 0 if there is no prefix.
    virtual std::optional<std::size_t> choose(
        const std::vector<ReplicaView>&, std::uint64_t prefixHash, framework::SteadyTime now)
        = 0;
};

} // namespace lagoon::policy
