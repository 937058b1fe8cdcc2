#pragma once

#include "agent/internal/replicacontroller.h"
#include "agent/internal/requestgate.h"
#include "framework/types/processidentity.h"

#include <string>

namespace lagoon::agent {

/// What `/status` is made from.
struct StatusView {
    const framework::ProcessIdentity& identity;
    const framework::PoolName& pool;
    framework::Incarnation incarnation;
    std::uint64_t bundleVersion = 0;
    bool isDraining = false;
    const RequestGate& gate;
    /// Null for a plain service.
    const ReplicaController* replicas = nullptr;
    framework::SteadyTime now {};
};

/// The state as JSON.
std::string statusText(const StatusView&);

} // namespace lagoon::agent
