#pragma once

#include "callers/icaller.h"
#include "framework/types/ids.h"

#include <map>
#include <set>
#include <vector>

namespace lagoon::router {

/// Caches which agents serve a target. Entries may be stale: an agent that no longer serves the target refuses a
/// dispatch as not run.
class PlacementCache {
public:
    void add(const callers::RequestTarget&, const framework::VmName&);
    void remove(const callers::RequestTarget&, const framework::VmName&);
    void removeVm(const framework::VmName&);
    std::vector<framework::VmName> vms(const callers::RequestTarget&) const;

private:
    std::map<callers::RequestTarget, std::set<framework::VmName>> placements_;
};

} // namespace lagoon::router
