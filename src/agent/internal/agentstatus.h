#pragma once

#include "agent/internal/replicacontroller.h"
#include "agent/internal/requestgate.h"
#include "framework/types/processidentity.h"

#include <string>

namespace lagoon::agent {

/// Data shown by the `/status` endpoint.
struct StatusView {
    const framework::ProcessIdentity& identity;
    const framework::PoolName& pool;
    framework::Incarnation incarnation;
    std::uint64_t bundleVersion = 0;
    bool isDraining = false;
    const RequestGate& gate;
    /// Null if the upstream is a plain service.
    const ReplicaController* replicas = nullptr;
    framework::SteadyTime now {};
};

/// Formats the status as JSON.
std::string statusText(const StatusView&);

} // namespace lagoon::agent
