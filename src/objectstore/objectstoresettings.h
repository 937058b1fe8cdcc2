#pragma once

#include "framework/checkedjson.h"
#include "objectstore/objectstoreclient.h"

/// Include in .cpp files only.
namespace lagoon::objectstore {

/// Reads `url`, `call_timeout_ms`, `calls_per_second` and `call_burst` of the settings' object `platform`.
ObjectStoreSettings readObjectStoreSettings(framework::CheckedObject& settings);

/// Whether the platform can be reached under such a text: `http://`, an address and maybe a port, no path.
bool isPlatformUrl(const std::string& text);

} // namespace lagoon::objectstore
