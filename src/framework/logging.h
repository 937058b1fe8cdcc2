#pragma once

#include <string_view>

/// The log for changes of state only; events of single requests are counted in metrics instead (see metrics.h).
namespace lagoon::framework {

/// Writes log lines to standard error. Call once at the start of the process.
void startLogging(std::string_view processName);
void logInfo(std::string_view module, std::string_view line);
void logWarning(std::string_view module, std::string_view line);

} // namespace lagoon::framework
