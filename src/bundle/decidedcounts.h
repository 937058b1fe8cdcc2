#pragma once

#include "bundle/types/bundle.h"
#include "objectstore/types/storedobject.h"

#include <cstdint>
#include <map>

namespace lagoon::bundle {

/// Decided replica counts by the key of the replica object, for the models and adapters at all sites in the bundle.
using DecidedCounts = std::map<objectstore::ObjectKey, std::uint32_t>;

DecidedCounts decidedCounts(const Bundle&);

/// Returns the new count for each key whose count is lower in `after` than in `before`; 0 for a key that `after` no
/// longer names.
DecidedCounts loweredCounts(const Bundle& before, const Bundle& after);

} // namespace lagoon::bundle
