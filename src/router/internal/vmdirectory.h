#pragma once

#include "framework/types/ids.h"
#include "objectstore/types/vmentry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoon::router {

/// The VMs on the platform's list. Since the list lags behind, agents that reported to this process that they are
/// draining are tracked as well.
class VmDirectory {
public:
    void setEntries(const objectstore::VmEntries&);
    /// Marks a VM whose agent reported that it is draining. It gets no more work until `clearDraining`, even if the
    /// list shows it as live.
    void setDraining(const framework::VmName&);
    void clearDraining(const framework::VmName&);

    const objectstore::VmEntry* find(const framework::VmName&) const;
    bool isUsable(const framework::VmName&) const;
    bool isGone(const framework::VmName&) const;
    /// Returns the live upstreams of the pools at the site, without those that are draining.
    std::vector<framework::VmName> upstreams(const std::vector<framework::PoolName>&, const framework::SiteName&) const;
    /// Returns the usable VMs with an upstream at all sites.
    std::vector<framework::VmName> agents() const;
    std::vector<framework::VmName> routers(const framework::SiteName&) const;
    /// Returns the site's routers that act as homes, at most `maxHomes`. All processes with the same VM list get the
    /// same result.
    std::vector<framework::VmName> homes(const framework::SiteName&, std::size_t maxHomes) const;
    /// Returns the live routers of all sites, sorted by name.
    std::vector<framework::VmName> liveRouters() const;
    std::set<framework::SiteName> sites() const;
    bool isEmpty() const { return entries_.empty(); }

private:
    std::map<framework::VmName, objectstore::VmEntry> entries_;
    std::set<framework::VmName> draining_;
};

} // namespace lagoon::router
