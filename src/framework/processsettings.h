#pragma once

#include "framework/checkedjson.h"
#include "framework/types/processidentity.h"
#include "framework/types/shutdowndeadlines.h"

#include <string>

/// What the settings of every process have in common. Include in .cpp files only.
namespace lagoon::framework {

/// Reads `vm`, `site` and `failure_domain`.
ProcessIdentity readProcessIdentity(CheckedObject&);
/// Reads a numeric `address:port` under `key`.
Endpoint readEndpoint(CheckedObject&, const std::string& key);
/// Reads `shutdown_grace_ms`, or the usual grace period if it isn't given.
Milliseconds readShutdownGrace(CheckedObject&);
/// The text of a settings file; `-` is standard input.
Result<std::string> readSettingsText(const std::string& file);

} // namespace lagoon::framework
