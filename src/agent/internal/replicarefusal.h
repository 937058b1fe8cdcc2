#pragma once

#include "agent/types/replicaid.h"
#include "framework/types/error.h"

#include <string>

namespace lagoon::agent {

/// Retry delays for an agent that is in a transition, and for one whose memory is all in use.
inline constexpr framework::Milliseconds retryWhenBusy { 1000 };
inline constexpr framework::Milliseconds retryWhenFull { 2000 };

/// Error for a replica that can't be loaded or used now. The request was not run.
framework::Error refusal(
    framework::ErrorCode, const ReplicaId&, std::string detail, framework::Milliseconds retryAfter);
/// Error for a replica that can't be loaded at all with the current bundle or by this process; it has no retry delay.
framework::Error permanentRefusal(framework::ErrorCode, const ReplicaId&, std::string detail);

} // namespace lagoon::agent
