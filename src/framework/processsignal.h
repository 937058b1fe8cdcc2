#pragma once

#include "framework/types/time.h"

#include <optional>

namespace lagoon::framework {

enum class ProcessSignal : unsigned char {
    Terminate, ///< SIGTERM or SIGINT
    Reload, ///< SIGHUP: the process has to reload its settings
};

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all that it starts later, and ignores SIGPIPE. Call before any
/// other thread is started.
void blockProcessSignals();
/// Unblocks the same signals, for commands that these are to end.
void unblockProcessSignals();
/// Waits for one of the blocked signals. Returns std::nullopt if none arrives within `wait`.
std::optional<ProcessSignal> waitForProcessSignal(Milliseconds wait);
/// Waits for SIGTERM or SIGINT. For processes that read their settings only at their start: SIGHUP, whose default
/// action would end the process, is ignored.
void waitForTermination();

} // namespace lagoon::framework
