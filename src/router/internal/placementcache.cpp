#include "router/internal/placementcache.h"

namespace lagoon::router {

using callers::RequestTarget;
using framework::VmName;

void PlacementCache::add(const RequestTarget& target, const VmName& vm) { placements_[target].insert(vm); }

void PlacementCache::remove(const RequestTarget& target, const VmName& vm)
{
    const auto found = placements_.find(target);
    if (found == placements_.end())
        return;
    found->second.erase(vm);
    if (found->second.empty())
        placements_.erase(found);
}

void PlacementCache::removeVm(const VmName& vm)
{
    for (auto& [target, vms] : placements_)
        vms.erase(vm);
    std::erase_if(placements_, [](const auto& placement) { return placement.second.empty(); });
}

std::vector<VmName> PlacementCache::vms(const RequestTarget& target) const
{
    const auto found = placements_.find(target);
    if (found == placements_.end())
        return {};
    return { found->second.begin(), found->second.end() };
}

} // namespace lagoon::router
