#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "policy/idlegaps.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lagoon::policy {

/// A loaded replica as its agent sees it. A loaded adapter is a replica of its own.
struct LoadedReplica {
    framework::ModelName model;
    /// Empty for the model itself.
    framework::AdapterName adapter;
    framework::MebiBytes memory;
    framework::SteadyTime lastUsed {};
    /// Expected duration of its next load. Callers should pass the mean of a load from the checkpoint's present
    /// location and a load from disk, since other checkpoints may have replaced this one in the memory cache by then.
    framework::Milliseconds loadTime { 0 };
    std::uint32_t running = 0;
    /// The last few uses since it was loaded, newest last.
    std::vector<framework::SteadyTime> recentUses;
    /// Gaps on this upstream from the end of one use to the beginning of the next one, combined by `withPrior` with the
    /// gaps of all targets on this upstream.
    IdleGaps gaps;
};

/// Decides how long an idle replica stays loaded and which replicas are evicted first when memory is short.
class IKeepWarm {
public:
    virtual ~IKeepWarm() = default;
    /// Returns when to unload the idle replica if it isn't used before; see `expiredReplicas` for adapters.
    /// `accelerator` is the upstream's total accelerator memory. An idle replica wastes the fraction of
    /// the accelerator that corresponds to its share of this memory.
    virtual framework::Deadline keepUntil(const LoadedReplica&, framework::MebiBytes accelerator) const = 0;
    /// Returns the indices of replicas that together free at least `needed`, in the order in which to unload them;
    /// empty if all idle replicas together free less. Running replicas are never chosen, and a model only together with
    /// its adapters. The caller has to pass replicas that are being loaded or unloaded as running.
    virtual std::vector<std::size_t> victims(
        const std::vector<LoadedReplica>&, framework::MebiBytes needed, framework::SteadyTime now) const = 0;
};

} // namespace lagoon::policy
