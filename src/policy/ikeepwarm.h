#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "policy/idlegaps.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lagoon::policy {

/// A loaded replica as its agent sees it. Adapters are replicas too.
struct LoadedReplica {
    framework::ModelName model;
    /// Empty for the model itself.
    framework::AdapterName adapter;
    framework::MebiBytes memory;
    framework::SteadyTime lastUsed {};
    /// What its next load is expected to take. Best measured: half way between a load from where its checkpoint is now
    /// and one from disk, since by then others may have taken its place in memory.
    framework::Milliseconds loadTime { 0 };
    std::uint32_t running = 0;
    /// Uses within memory, newest last, a few of them.
    std::vector<framework::SteadyTime> recentUses;
    /// From the end of a use to the beginning of the next one, here; `withPrior` of all targets' gaps here.
    IdleGaps gaps;
};

/// How long an idle replica stays loaded, and which go first when memory is short.
class IKeepWarm {
public:
    virtual ~IKeepWarm() = default;
    /// When the idle replica should be unloaded unless used before; see `expiredReplicas` for adapters. `accelerator`
    /// is the upstream's whole memory: a replica idles as much of an accelerator as it takes of that.
    virtual framework::Deadline keepUntil(const LoadedReplica&, framework::MebiBytes accelerator) const = 0;
    /// Indexes of replicas that together free at least `needed`, in the order of unloading; empty if the idle ones
    /// don't suffice. Running ones are never chosen, nor a model without the adapters on it; one that is being loaded
    /// or unloaded has to be given as running.
    virtual std::vector<std::size_t> victims(
        const std::vector<LoadedReplica>&, framework::MebiBytes needed, framework::SteadyTime now) const = 0;
};

} // namespace lagoon::policy
