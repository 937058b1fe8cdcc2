#pragma once

#include "policy/ikeepwarm.h"

namespace lagoon::policy {

/// Indexes of the idle replicas whose time is over, in the order of unloading. A model's end is its adapters' too: they
/// take so little of an accelerator that each by itself would stay for hours, and with it the whole model.
std::vector<std::size_t> expiredReplicas(
    const IKeepWarm&, const std::vector<LoadedReplica>&, framework::MebiBytes accelerator, framework::SteadyTime now);

} // namespace lagoon::policy
