#pragma once

#include "agent/agentsettings.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <memory>

/// The process beside each upstream, its only gate: admits work, keeps the request ledger, and decides what is loaded
/// within the claims it holds and the memory there is.
namespace lagoon::agent {

/// Where a running agent can be reached.
struct AgentEndpoints {
    framework::Endpoint link;
    framework::Endpoint ops;
};

/// Wires the agent's parts together.
class Agent {
public:
    explicit Agent(const AgentSettings&);
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    /// Listens, and begins to read the engine's state, the claims and the bundle; loads nothing before it has them.
    framework::Result<AgentEndpoints> start();
    /// Refuses what is new as not run and lets what is running and waiting end, as far as the grace period of the
    /// settings allows: what waits longer is refused as not run, what runs longer is stopped. Then closes all.
    void shutDown();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::agent
