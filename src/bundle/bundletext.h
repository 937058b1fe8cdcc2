#pragma once

#include "bundle/types/bundle.h"
#include "framework/types/error.h"

#include <string>

namespace lagoon::bundle {

/// Reads and checks a bundle's JSON. The first fault is returned with its key: unknown key, wrong type, duplicate name,
/// negative count, a pool, model or site that nothing defines, a model larger than any accelerator of its pools.
framework::Result<Bundle> parseBundle(const std::string& text, const std::string& source);

} // namespace lagoon::bundle
