#pragma once

#include "catalog/types/configuration.h"

namespace lagoon::forwarding {

/// Draws a target of the route at random, in proportion to the targets' weights.
const catalog::RouteTarget& drawTarget(const catalog::Route&);

} // namespace lagoon::forwarding
