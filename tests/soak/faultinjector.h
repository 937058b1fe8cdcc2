#pragma once

#include "soak/plannedoperations.h"
#include "standins/proxy/faultproxy.h"

#include <array>

namespace lagoon::soak {

/// Faults from outside the processes: kills and stops, a store that goes away, lossy and silent connections, servers
/// that refuse, lose or cut answers. Planned work comes between them.
class FaultInjector {
public:
    /// Puts a proxy before the store, a plain server and an engine.
    FaultInjector(fleet::Fleet&, ActionScheduler&, RunLog&);

    void inject(ProcessSupervisor&, PlannedOperations&);
    void clearFaults();

private:
    void injectProcessFault(ProcessSupervisor&);
    void injectNetworkFault();
    void injectServerFault();
    void restartEngine(const PlannedOperations&);
    void injectStoreOutage();
    void setFault(std::size_t proxy, const std::string& name, const web::json::value& what);

    fleet::Fleet& fleet_;
    ActionScheduler& scheduler_;
    RunLog& runLog_;
    ActiveFaults activeFaults_;
    std::array<standins::FaultProxy*, 3> proxies_;
};

} // namespace lagoon::soak
