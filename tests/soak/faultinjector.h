#pragma once

#include "soak/plannedoperations.h"
#include "standins/proxy/faultproxy.h"

#include <array>

namespace lagoon::soak {

/// Injects faults from outside the processes: killed and stopped processes, store outages, cut, slow and silent
/// connections, and servers that refuse requests or lose or cut answers. Planned operations are mixed in.
class FaultInjector {
public:
    /// Puts a proxy in front of the store, a plain server and an engine.
    FaultInjector(fleet::Fleet&, ActionScheduler&, RunLog&);

    /// Injects one random fault or performs one planned operation.
    void inject(ProcessSupervisor&, PlannedOperations&);
    void clearFaults();

private:
    void injectProcessFault(ProcessSupervisor&);
    void injectNetworkFault();
    void injectServerFault();
    void restartEngine(const PlannedOperations&);
    void injectStoreOutage();
    /// Closes the proxy's connections. Lasts for the moment only.
    void cut(std::size_t proxy);
    void setFault(std::size_t proxy, const std::string& name, const web::json::value& what);

    fleet::Fleet& fleet_;
    ActionScheduler& scheduler_;
    RunLog& runLog_;
    /// Faults of links, of which the first is that to the store.
    ActiveFaults linkFaults_;
    ActiveFaults storeFaults_;
    std::array<FaultScope, 3> scopes_;
    std::array<standins::FaultProxy*, 3> proxies_;
};

} // namespace lagoon::soak
