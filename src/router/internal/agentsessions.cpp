#include "router/internal/agentsessions.h"

#include <vector>

namespace lagoon::router {

AgentSessions::AgentSessions(const SessionContext& context, const VmDirectory& directory)
    : context_(context)
    , directory_(directory)
{
}

std::shared_ptr<AgentSession> AgentSessions::session(const framework::VmName& vm)
{
    const objectstore::VmEntry* entry = directory_.find(vm);
    if (!entry)
        return existing(vm);
    std::shared_ptr<AgentSession>& session = sessions_[vm];
    // A restarted agent may listen on another endpoint. The old session stays alive until its dispatches in flight are
    // settled or past their deadlines.
    if (!session || session->endpoint() != entry->endpoint)
        session = std::make_shared<AgentSession>(context_, vm, entry->endpoint);
    return session;
}

std::shared_ptr<AgentSession> AgentSessions::existing(const framework::VmName& vm) const
{
    const auto found = sessions_.find(vm);
    return found == sessions_.end() ? nullptr : found->second;
}

void AgentSessions::removeGone()
{
    std::vector<std::shared_ptr<AgentSession>> gone;
    for (const auto& [vm, session] : sessions_) {
        if (directory_.isGone(vm))
            gone.push_back(session);
    }
    for (const auto& session : gone) {
        sessions_.erase(session->agent());
        session->setGone();
    }
}

void AgentSessions::closeAll()
{
    for (const auto& [vm, session] : sessions_)
        session->close();
}

} // namespace lagoon::router
