#pragma once

#include "agent/types/replicaid.h"

namespace lagoon::agent {

/// The destination of a dispatch: a replica or a plain service.
struct Target {
    ReplicaId replica;
    framework::ServiceName service;

    bool operator==(const Target&) const = default;
    bool isService() const { return !service.value().empty(); }
};

} // namespace lagoon::agent
