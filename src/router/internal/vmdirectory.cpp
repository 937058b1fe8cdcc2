#include "router/internal/vmdirectory.h"

#include "policy/rendezvous.h"

#include <algorithm>

namespace lagoon::router {

using framework::SiteName;
using framework::VmName;
using objectstore::VmEntry;
using objectstore::VmRole;
using objectstore::VmState;

void VmDirectory::setEntries(const objectstore::VmEntries& entries)
{
    entries_.clear();
    for (const VmEntry& entry : entries)
        entries_.emplace(entry.vm, entry);
    std::erase_if(draining_, [this](const VmName& vm) { return !entries_.contains(vm); });
}

void VmDirectory::setDraining(const VmName& vm) { draining_.insert(vm); }

void VmDirectory::clearDraining(const VmName& vm) { draining_.erase(vm); }

const VmEntry* VmDirectory::find(const VmName& vm) const
{
    const auto found = entries_.find(vm);
    return found == entries_.end() ? nullptr : &found->second;
}

bool VmDirectory::isUsable(const VmName& vm) const
{
    const VmEntry* entry = find(vm);
    return entry && entry->state == VmState::Live && !draining_.contains(vm);
}

bool VmDirectory::isGone(const VmName& vm) const
{
    const VmEntry* entry = find(vm);
    return entry && entry->state == VmState::Gone;
}

std::vector<VmName> VmDirectory::upstreams(const std::vector<framework::PoolName>& pools, const SiteName& site) const
{
    std::vector<VmName> found;
    for (const auto& [vm, entry] : entries_) {
        if (entry.role != VmRole::Upstream || entry.site != site || !isUsable(vm))
            continue;
        if (std::find(pools.begin(), pools.end(), entry.pool) == pools.end())
            continue;
        found.push_back(vm);
    }
    return found;
}

std::vector<VmName> VmDirectory::agents() const
{
    std::vector<VmName> found;
    for (const auto& [vm, entry] : entries_) {
        if (entry.role == VmRole::Upstream && isUsable(vm))
            found.push_back(vm);
    }
    return found;
}

std::vector<VmName> VmDirectory::routers(const SiteName& site) const
{
    std::vector<VmName> found;
    for (const auto& [vm, entry] : entries_) {
        if (entry.role == VmRole::Router && entry.site == site && entry.state == VmState::Live)
            found.push_back(vm);
    }
    return found;
}

std::vector<VmName> VmDirectory::homes(const SiteName& site, std::size_t maxHomes) const
{
    std::vector<VmName> order = policy::rendezvousOrder("homes", routers(site));
    if (order.size() > maxHomes)
        order.resize(maxHomes);
    return order;
}

std::vector<VmName> VmDirectory::liveRouters() const
{
    std::vector<VmName> live;
    for (const auto& [vm, entry] : entries_) {
        if (entry.role == VmRole::Router && entry.state == VmState::Live)
            live.push_back(vm);
    }
    return live;
}

std::set<SiteName> VmDirectory::sites() const
{
    std::set<SiteName> sites;
    for (const auto& [vm, entry] : entries_)
        sites.insert(entry.site);
    return sites;
}

} // namespace lagoon::router
