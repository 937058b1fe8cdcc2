#pragma once

#include "direct/directsettings.h"
#include "engines/iengineport.h"
#include "engines/ifencingtokensource.h"
#include "engines/iprofilesource.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"

#include <memory>

namespace lagoon::direct {

/// External dependencies of a direct agent.
struct DirectAgentPorts {
    framework::ControlThread& control;
    framework::EventThread& traffic;
    const framework::IClock& clock;
    std::shared_ptr<framework::Metrics> metrics;
    engines::IEnginePort& engine;
    engines::IFencingTokenSource& fencingTokens;
    engines::IProfileSource& profiles;
};

struct DirectAgentEndpoints {
    framework::Endpoint link;
    framework::Endpoint ops;
};

/// The agent process beside an engine. Makes the engine load the models that routers have demand for; handles no
/// requests itself. This class connects the process's parts.
class DirectAgent {
public:
    DirectAgent(const DirectAgentPorts&, const DirectAgentSettings&);
    ~DirectAgent();
    DirectAgent(const DirectAgent&) = delete;
    DirectAgent& operator=(const DirectAgent&) = delete;

    /// Listens and takes control of the engine. An error that has `retryAfter` means that the port for links is held;
    /// call this again until it is free.
    framework::Result<DirectAgentEndpoints> start();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::direct
