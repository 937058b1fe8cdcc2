#pragma once

#include "router/internal/agentsession.h"
#include "router/internal/vmdirectory.h"

#include <map>
#include <memory>

namespace lagoon::router {

/// The sessions with agents, made when first needed.
class AgentSessions {
public:
    AgentSessions(const SessionContext&, const VmDirectory&);

    /// Null if the list has no such VM. A VM whose endpoint changed gets a new session.
    std::shared_ptr<AgentSession> session(const framework::VmName&);
    /// Null if there was nothing to say to the agent yet.
    std::shared_ptr<AgentSession> existing(const framework::VmName&) const;
    /// After a change of the list: ends sessions with VMs that are gone.
    void removeGone();
    void closeAll();

private:
    SessionContext context_;
    const VmDirectory& directory_;
    std::map<framework::VmName, std::shared_ptr<AgentSession>> sessions_;
};

} // namespace lagoon::router
