#pragma once

#include "agent/agentsettings.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <memory>

/// The agent runs beside each upstream and is the only process that sends it requests. It admits requests, keeps the
/// request ledger, and decides which models are loaded, within its claims and the available memory.
namespace lagoon::agent {

/// Addresses on which a running agent listens.
struct AgentEndpoints {
    framework::Endpoint link;
    framework::Endpoint ops;
};

/// Creates and connects the agent's components.
class Agent {
public:
    explicit Agent(const AgentSettings&);
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    /// Starts listening and starts reading the engine's state, the claims and the bundle. No model is loaded before all
    /// three have been read.
    /// An error that has `retryAfter` means that a port is held; call this again until it is free.
    framework::Result<AgentEndpoints> start();
    /// Refuses new requests as not run and lets running and waiting ones finish within the grace period of the
    /// settings: requests that wait longer are refused as not run, requests that run longer are stopped. Then closes
    /// all links and stops all threads.
    void shutDown();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::agent
