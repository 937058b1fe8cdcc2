#pragma once

#include "agent/types/replicaid.h"
#include "framework/types/time.h"
#include "policy/idlegaps.h"

#include <functional>
#include <map>

namespace lagoon::agent {

/// Records how long targets are idle between uses on this VM, also while they aren't loaded: measuring only the gaps
/// during which a target stayed loaded would miss the long ones. Control thread only.
class IdleGapHistory {
public:
    /// Records that an idle target is used again.
    void beginUse(const ReplicaId&, framework::SteadyTime now);
    /// Records that a target's last use has ended.
    void endUse(const ReplicaId&, framework::SteadyTime now);
    /// The target's own gaps, with the gaps of all targets on this VM as their prior.
    policy::IdleGaps gaps(const ReplicaId&) const;
    /// Removes the targets for which `isKept` is false. Otherwise the targets of old bundles would accumulate.
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
