#pragma once

#include "framework/checkedjson.h"
#include "platform/platformclient.h"

/// Include in .cpp files only.
namespace lagoon::platform {

/// Reads `url`, `call_timeout_ms`, `calls_per_second` and `call_burst` of the settings' object `platform`.
PlatformSettings readPlatformSettings(framework::CheckedObject& settings);

/// Whether the platform can be reached under such a text: `http://`, an address and maybe a port, no path.
bool isPlatformUrl(const std::string& text);

} // namespace lagoon::platform
