#include "agent/internal/idlegaphistory.h"

#include <chrono>

namespace lagoon::agent {

using framework::Milliseconds;
using framework::SteadyTime;

void IdleGapHistory::beginUse(const ReplicaId& id, SteadyTime now)
{
    const auto used = uses_.find(id);
    if (used == uses_.end())
        return;
    const auto gap = std::chrono::duration_cast<Milliseconds>(now - used->second.lastEnd);
    used->second.gaps.record(gap);
    allGaps_.record(gap);
}

void IdleGapHistory::endUse(const ReplicaId& id, SteadyTime now) { uses_[id].lastEnd = now; }

policy::IdleGaps IdleGapHistory::gaps(const ReplicaId& id) const
{
    const auto used = uses_.find(id);
    return (used == uses_.end() ? policy::IdleGaps() : used->second.gaps).withPrior(allGaps_);
}

void IdleGapHistory::keepOnly(const std::function<bool(const ReplicaId&)>& isKept)
{
    std::erase_if(uses_, [&isKept](const auto& use) { return !isKept(use.first); });
}

} // namespace lagoon::agent
