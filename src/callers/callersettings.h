#pragma once

#include "callers/types/callerlimits.h"
#include "framework/checkedjson.h"

/// Include in .cpp files only.
namespace lagoon::callers {

/// Reads the optional section `limits` of a router's settings.
CallerLimits readCallerLimits(framework::CheckedObject& settings);

} // namespace lagoon::callers
