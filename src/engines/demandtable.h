#pragma once

#include "catalog/types/targetdemand.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace lagoon::engines {

/// The demand of all routers at one engine. Removes routers that have fallen silent. The cost of a router's update
/// grows with the number of entries that all routers have for the models of its old and new demand.
class DemandTable {
public:
    /// Replaces the router's previous demand.
    void set(const framework::VmName& router, catalog::DemandList, framework::SteadyTime now);
    void forget(const framework::VmName& router);
    void forgetSilentRouters(framework::SteadyTime now);
    std::size_t routers() const { return routers_.size(); }

    /// Returns the demand over all routers: the sums of waiting requests, requests in progress and work, and the
    /// earliest deadline.
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
