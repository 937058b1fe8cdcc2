#pragma once

#include "catalog/types/targetdemand.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace lagoon::engines {

/// What all routers together want of one engine. Forgets routers that have fallen silent. A router's update costs what
/// the routers say of the models that it names, before or after.
class DemandTable {
public:
    /// Replaces what the router wanted before.
    void set(const framework::VmName& router, catalog::DemandList, framework::SteadyTime now);
    void forget(const framework::VmName& router);
    void forgetSilentRouters(framework::SteadyTime now);
    std::size_t routers() const { return routers_.size(); }

    /// Over all routers: sums of those that wait, that are under way, and of the work; the nearest deadline.
    const std::map<catalog::ModelTarget, catalog::TargetDemand>& merged() const { return merged_; }

private:
    struct Entry {
        catalog::DemandList demand;
        framework::SteadyTime receivedAt {};
    };

    using DemandByRouter = std::vector<std::pair<framework::VmName, catalog::TargetDemand>>;

    void merge(const catalog::ModelTarget&);
    void erase(const catalog::ModelTarget&, const framework::VmName& router);

    std::map<framework::VmName, Entry> routers_;
    std::map<catalog::ModelTarget, DemandByRouter> byTarget_;
    std::map<catalog::ModelTarget, catalog::TargetDemand> merged_;
};

} // namespace lagoon::engines
