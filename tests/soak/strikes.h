#pragma once

#include "soak/plannedwork.h"
#include "standins/proxy/faultproxy.h"

#include <array>

namespace lagoon::soak {

/// Faults from outside the processes: kills and stops, a store that goes away, lossy and silent connections, servers
/// that refuse, lose or cut answers. Planned work comes between them.
class Strikes {
public:
    /// Puts a proxy before the store, a plain server and an engine.
    Strikes(fleet::Fleet&, Agenda&, Journal&);

    void strike(Processes&, PlannedWork&);
    void heal();

private:
    void strikeProcess(Processes&);
    void strikeNetwork();
    void strikeServers();
    void restartEngine(const PlannedWork&);
    void strikeStore();
    void setFault(std::size_t proxy, const std::string& name, const web::json::value& what);

    fleet::Fleet& fleet_;
    Agenda& agenda_;
    Journal& journal_;
    OpenStrikes open_;
    std::array<standins::FaultProxy*, 3> proxies_;
};

} // namespace lagoon::soak
