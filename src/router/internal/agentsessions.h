#pragma once

#include "router/internal/agentsession.h"
#include "router/internal/vmdirectory.h"

#include <map>
#include <memory>

namespace lagoon::router {

/// Holds the sessions with agents, created on first use.
class AgentSessions {
public:
    AgentSessions(const SessionContext&, const VmDirectory&);

    /// Returns the session with the VM's agent, and creates it if necessary. A VM whose endpoint changed gets a new
    /// session. For a VM that the directory doesn't list, returns the existing session or null.
    std::shared_ptr<AgentSession> session(const framework::VmName&);
    /// Returns null if no session with the agent was created yet.
    std::shared_ptr<AgentSession> existing(const framework::VmName&) const;
    /// Ends the sessions with VMs that are gone. Called after each change of the VM list.
    void removeGone();
    void closeAll();

private:
    SessionContext context_;
    const VmDirectory& directory_;
    std::map<framework::VmName, std::shared_ptr<AgentSession>> sessions_;
};

} // namespace lagoon::router
