#pragma once

#include "policy/ikeepwarm.h"

namespace lagoon::policy {

/// Returns the indices of the idle replicas whose keep-warm time has expired, in the order in which to unload them.
/// When a model expires, its adapters expire with it: an adapter takes so little of an accelerator that it would
/// otherwise stay loaded for hours and keep the whole model loaded.
std::vector<std::size_t> expiredReplicas(
    const IKeepWarm&, const std::vector<LoadedReplica>&, framework::MebiBytes accelerator, framework::SteadyTime now);

} // namespace lagoon::policy
