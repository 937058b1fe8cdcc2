#pragma once

#include "framework/types/error.h"
#include "framework/types/processidentity.h"
#include "framework/types/serviceend.h"
#include "framework/types/time.h"
#include "objectstore/objectstoreclient.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lagoon::agent {

enum class UpstreamKind : std::uint8_t { Engine, Service };

struct UpstreamSettings {
    UpstreamKind kind = UpstreamKind::Engine;
    /// Such as `http://127.0.0.1:9000`.
    std::string url;
    /// Whether the engine refuses an order with a fencing number older than one that it has seen.
    bool checksFencing = false;
    /// For engines that don't: how long an order of a former process may still wait unread in the engine.
    framework::Milliseconds settling { 10000 };
};

struct AgentLimits {
    std::uint32_t running = 64;
    std::uint32_t waiting = 256;
    std::size_t ledgerEntries = 20000;
    /// Of all answers kept for routers that haven't settled them.
    std::size_t ledgerBytes = std::size_t(256) * 1024 * 1024;
    /// Of one answer; a longer one is broken off.
    std::size_t answerBytes = std::size_t(32) * 1024 * 1024;
    /// After this long without a link, a router's entries are dropped.
    framework::Milliseconds forgetRouterAfter { 300000 };
};

struct AgentSettings {
    framework::ProcessIdentity identity;
    framework::PoolName pool;
    framework::Endpoint link;
    framework::Endpoint ops;
    objectstore::ObjectStoreSettings platform;
    UpstreamSettings upstream;
    AgentLimits limits;
    /// From the request to end until the process is ended by force.
    framework::Milliseconds shutdownGrace = framework::defaultGrace;
};

/// Reads and checks the settings of an agent. `source` is the file, for the error.
framework::Result<AgentSettings> parseAgentSettings(const std::string& text, const std::string& source);

} // namespace lagoon::agent
