#pragma once

#include "bundle/types/bundle.h"
#include "objectstore/types/storedobject.h"

#include <cstdint>
#include <map>

namespace lagoon::bundle {

/// Decided replicas by the key of their replica object, of models and adapters at all sites that the bundle names.
using DecidedCounts = std::map<objectstore::ObjectKey, std::uint32_t>;

DecidedCounts decidedCounts(const Bundle&);

/// What `after` decides for each key whose count it lowers, 0 for those that it doesn't name any more.
DecidedCounts loweredCounts(const Bundle& before, const Bundle& after);

} // namespace lagoon::bundle
