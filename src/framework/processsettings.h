#pragma once

#include "framework/checkedjson.h"
#include "framework/types/processidentity.h"
#include "framework/types/shutdowndeadlines.h"

#include <string>

/// Reads the settings that all processes have in common. Include in .cpp files only.
namespace lagoon::framework {

/// Reads `vm`, `site` and `failure_domain`.
ProcessIdentity readProcessIdentity(CheckedObject&);
/// Reads a numeric `address:port` under `key`.
Endpoint readEndpoint(CheckedObject&, const std::string& key);
/// Reads `shutdown_grace_ms`; returns `defaultGrace` if it isn't given.
Milliseconds readShutdownGrace(CheckedObject&);
/// Reads the text of a settings file; `-` means standard input.
Result<std::string> readSettingsText(const std::string& file);

} // namespace lagoon::framework
