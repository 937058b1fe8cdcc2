#pragma once

#include <string_view>

/// Lines for changes of state only; whatever happens per request is counted instead (see metrics.h).
namespace lagoon::framework {

/// Sends log lines to standard error. Call once, first thing.
void startLogging(std::string_view processName);
void logInfo(std::string_view module, std::string_view line);
void logWarning(std::string_view module, std::string_view line);

} // namespace lagoon::framework
