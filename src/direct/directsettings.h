#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/processidentity.h"
#include "framework/types/time.h"
#include "policy/policyswitches.h"

#include <cstdint>
#include <string>

namespace lagoon::direct {

/// What a direct router is told. See docs/OPERATING.md for the keys.
struct DirectRouterSettings {
    framework::ProcessIdentity identity;
    framework::Endpoint callers;
    /// Any `GET` there is answered 200 while new callers are welcome, else 503.
    framework::Endpoint readiness;
    /// Any `GET` there is answered with the counters.
    framework::Endpoint ops;
    framework::Endpoint objectStore;
    /// Where agents listen, on the VM of their engine.
    std::uint16_t agentPort = 0;
    /// Repeats that a service may get from all routers together.
    double retryShare = 0.2;
    double retryReserve = 50;
    policy::PolicySwitches policy;
    /// From the request to end until the process is ended by force.
    framework::Milliseconds grace { 8000 };
    /// A server that leaves is passed by this soon after the store was told.
    framework::Milliseconds leavingNotice { 2000 };
    /// One that left while the store couldn't be reached is passed by this soon after it can be again.
    framework::Milliseconds outageNotice { 3000 };
};

/// What the agent beside an engine is told.
struct DirectAgentSettings {
    framework::ProcessIdentity identity;
    framework::Endpoint link;
    framework::Endpoint ops;
    framework::Endpoint objectStore;
    framework::Endpoint engine;
    framework::ServiceName service;
};

/// Read and check a settings text; the first fault names the source, the key and what was expected.
framework::Result<DirectRouterSettings> parseDirectRouterSettings(const std::string& text, const std::string& source);
framework::Result<DirectAgentSettings> parseDirectAgentSettings(const std::string& text, const std::string& source);

} // namespace lagoon::direct
