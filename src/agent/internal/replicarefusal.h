#pragma once

#include "agent/types/replicaid.h"
#include "framework/types/error.h"

#include <string>

namespace lagoon::agent {

/// When to come back to an agent that is in a transition, or whose memory is all in use.
inline constexpr framework::Milliseconds retryWhenBusy { 1000 };
inline constexpr framework::Milliseconds retryWhenFull { 2000 };

/// Why a replica can't be loaded or used now; never run.
framework::Error refusal(
    framework::ErrorCode, const ReplicaId&, std::string detail, framework::Milliseconds retryAfter);
/// Why it can't be at all, as the bundle stands.
framework::Error permanentRefusal(framework::ErrorCode, const ReplicaId&, std::string detail);

} // namespace lagoon::agent
