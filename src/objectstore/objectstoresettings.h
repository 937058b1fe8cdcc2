#pragma once

#include "framework/checkedjson.h"
#include "objectstore/objectstoreclient.h"

/// Include in .cpp files only.
namespace lagoon::objectstore {

/// Reads `url`, `call_timeout_ms`, `calls_per_second` and `call_burst` from the object `platform` of the settings.
ObjectStoreSettings readObjectStoreSettings(framework::CheckedObject& settings);

/// Returns true if the text is a valid platform URL: `http://`, an address and optionally a port, without a path.
bool isPlatformUrl(const std::string& text);

} // namespace lagoon::objectstore
