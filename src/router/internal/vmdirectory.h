#pragma once

#include "framework/types/ids.h"
#include "objectstore/types/vmentry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoon::router {

/// Who is there, by the platform's lagging list, corrected by what this process saw itself since.
class VmDirectory {
public:
    void setEntries(const objectstore::VmEntries&);
    /// The agent said that it is draining: no more work for it, whatever the list says, until `clearDraining`.
    void setDraining(const framework::VmName&);
    void clearDraining(const framework::VmName&);

    const objectstore::VmEntry* find(const framework::VmName&) const;
    bool isUsable(const framework::VmName&) const;
    bool isGone(const framework::VmName&) const;
    /// Live upstreams of the pools at the site that take work.
    std::vector<framework::VmName> upstreams(const std::vector<framework::PoolName>&, const framework::SiteName&) const;
    std::vector<framework::VmName> routers(const framework::SiteName&) const;
    /// The site's routers that do the home duty: at most `maxHomes`, the same at everyone with the same list.
    std::vector<framework::VmName> homes(const framework::SiteName&, std::size_t maxHomes) const;
    /// Of all sites, by name.
    std::vector<framework::VmName> liveRouters() const;
    std::set<framework::SiteName> sites() const;
    bool isEmpty() const { return entries_.empty(); }

private:
    std::map<framework::VmName, objectstore::VmEntry> entries_;
    std::set<framework::VmName> draining_;
};

} // namespace lagoon::router
