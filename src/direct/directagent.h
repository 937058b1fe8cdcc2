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

/// What a direct agent speaks to the outside with.
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

/// The process beside an engine: has it hold the models that routers want. No request passes through it. Wires its
/// parts together.
class DirectAgent {
public:
    DirectAgent(const DirectAgentPorts&, const DirectAgentSettings&);
    ~DirectAgent();
    DirectAgent(const DirectAgent&) = delete;
    DirectAgent& operator=(const DirectAgent&) = delete;

    framework::Result<DirectAgentEndpoints> start();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::direct
