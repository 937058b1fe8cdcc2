#pragma once

#include "agent/types/replicaid.h"
#include "framework/types/time.h"
#include "policy/idlegaps.h"

#include <functional>
#include <map>

namespace lagoon::agent {

/// How long targets lie idle on this VM, remembered also while they aren't loaded: of the gaps during which one stayed
/// loaded alone, only the short ones would be known. Control thread only.
class IdleGapHistory {
public:
    /// An idle target is used.
    void beginUse(const ReplicaId&, framework::SteadyTime now);
    /// A target's last use has ended.
    void endUse(const ReplicaId&, framework::SteadyTime now);
    /// The target's own gaps, with those of all targets here as their prior.
    policy::IdleGaps gaps(const ReplicaId&) const;
    /// Forgets those for which `isKept` is false, or the targets of all bundles ever would add up.
    void keepOnly(const std::function<bool(const ReplicaId&)>& isKept);

private:
    struct UseRecord {
        policy::IdleGaps gaps;
        framework::SteadyTime lastEnd {};
    };

    std::map<ReplicaId, UseRecord> uses_;
    policy::IdleGaps allGaps_;
};

} // namespace lagoon::agent
