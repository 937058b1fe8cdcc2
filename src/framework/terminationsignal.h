#pragma once

namespace lagoon::framework {

/// Blocks SIGTERM and SIGINT in this thread and all it starts. Call in `main` before any thread exists.
void holdTerminationSignals();
/// Returns once one of them has come.
void waitForTerminationSignal();

} // namespace lagoon::framework
