#pragma once

#include "framework/types/time.h"

#include <optional>

namespace lagoon::framework {

enum class ProcessSignal : unsigned char {
    Terminate, ///< SIGTERM or SIGINT
    Reload, ///< SIGHUP: the settings have changed
};

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all it starts, and ignores SIGPIPE. Call in `main` before any
/// thread exists.
void blockProcessSignals();
/// Returns once one of them has come, or nothing when `wait` is over.
std::optional<ProcessSignal> waitForProcessSignal(Milliseconds wait);
/// Returns once the process is to end. For processes that take up their settings only at their start: SIGHUP, which
/// would end one that doesn't hold it, is passed over.
void waitForTermination();

} // namespace lagoon::framework
