#pragma once

#include "framework/types/error.h"
#include "framework/types/processidentity.h"
#include "framework/types/shutdowndeadlines.h"
#include "framework/types/time.h"
#include "objectstore/objectstoreclient.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lagoon::agent {

enum class UpstreamKind : std::uint8_t { Engine, Service };

struct UpstreamSettings {
    UpstreamKind kind = UpstreamKind::Engine;
    /// For example `http://127.0.0.1:9000`.
    std::string url;
    /// Whether the engine rejects an order whose fencing token is older than one that it has already seen.
    bool checksFencing = false;
    /// For engines that don't check: how long an order of a previous agent process may stay unread in the engine.
    framework::Milliseconds settling { 10000 };
};

struct AgentLimits {
    /// Maximum number of dispatches that run at the upstream at once.
    std::uint32_t running = 64;
    /// Maximum number of dispatches that wait to run; further ones are refused.
    std::uint32_t waiting = 256;
    /// Maximum number of dispatches that the request ledger has a record of; further ones are refused.
    std::size_t ledgerEntries = 20000;
    /// Maximum total size of the answers kept for routers that haven't settled them.
    std::size_t ledgerBytes = std::size_t(256) * 1024 * 1024;
    /// Maximum size of one answer; a longer answer is aborted.
    std::size_t answerBytes = std::size_t(32) * 1024 * 1024;
    /// A router's ledger entries are dropped after this long without a link.
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
    /// Time from the shutdown request until the process is killed.
    framework::Milliseconds shutdownGrace = framework::defaultGrace;
};

/// Parses and validates the settings of an agent. `source` is the file name shown in errors.
framework::Result<AgentSettings> parseAgentSettings(const std::string& text, const std::string& source);

} // namespace lagoon::agent
