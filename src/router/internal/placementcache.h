#pragma once

#include "callers/icaller.h"
#include "framework/types/ids.h"

#include <map>
#include <set>
#include <vector>

namespace lagoon::router {

/// Which agents served a target when last heard of. Only a hint: an agent that no longer has it says so, not run.
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
