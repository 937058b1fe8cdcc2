#pragma once

#include "bundle/types/bundle.h"
#include "framework/types/error.h"

#include <string>

namespace lagoon::bundle {

/// Parses and validates a bundle's JSON. Returns the first error with its key: an unknown key, a wrong type, a
/// duplicate name, a negative count, an undefined pool, model or site, or a model larger than every accelerator of its
/// pools.
framework::Result<Bundle> parseBundle(const std::string& text, const std::string& source);

} // namespace lagoon::bundle
