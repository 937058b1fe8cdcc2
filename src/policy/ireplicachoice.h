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
    /// Sent by this router and not answered.
    std::uint32_t ownInFlight = 0;
    /// As the agent last said; lags.
    std::uint32_t reportedRunning = 0;
    std::uint32_t reportedWaiting = 0;
    /// Exponentially averaged time to the first byte; 0 before the first answer.
    double firstByteSeconds = 0;
    /// When that average last changed. A bad one fades from then on, so that a recovered replica is tried again.
    framework::SteadyTime lastAnswer {};
    /// Failures or silence lately: don't use unless there is nothing else.
    bool isSuspect = false;
};

/// Chooses among warm replicas.
class IReplicaChoice {
public:
    virtual ~IReplicaChoice() = default;
    /// `prefixHash` is that of the prompt's beginning, 0 for none. Nothing only if there are no replicas.
    virtual std::optional<std::size_t> choose(
        const std::vector<ReplicaView>&, std::uint64_t prefixHash, framework::SteadyTime now)
        = 0;
};

} // namespace lagoon::policy
