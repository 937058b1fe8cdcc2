#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/periodictask.h"
#include "quarantine/evidencesharing.h"
#include "router/internal/agentsessions.h"
#include "router/internal/vmdirectory.h"

#include <functional>
#include <memory>
#include <set>

namespace lagoon::router {

/// Shares evidence about requests that crash their upstreams with the other routers, through the agents of a few VMs
/// that all routers choose alike. Keeps the links to these agents open. Control thread only.
class EvidenceLinks {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        const VmDirectory& directory;
        AgentSessions& sessions;
        framework::Metrics& metrics;
        /// Called with what was new of the evidence of agents and other routers.
        std::function<void(const quarantine::EvidenceUpdate&)> didReceive;
    };

    explicit EvidenceLinks(Context);

    void start();
    /// The list of VMs has changed.
    void updateRelays();
    void share(const quarantine::EvidenceUpdate& update) { evidence_.share(update); }
    void receive(const framework::VmName& from, const wire::fb::CrashEvidenceT&);
    /// The link to an agent that understands evidence has been opened.
    void didOpen(const framework::VmName& agent);

private:
    void tick();
    void setRelays(const std::set<framework::VmName>&);
    std::set<framework::VmName> chooseRelays() const;
    void sendEverything(const framework::VmName& agent);
    void publishMetrics();
    void send(const wire::Message&);

    Context context_;
    quarantine::EvidenceSharing evidence_;
    std::set<framework::VmName> relays_;
    framework::PeriodicTask ticks_;
};

} // namespace lagoon::router
