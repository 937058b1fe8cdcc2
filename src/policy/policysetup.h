#pragma once

#include "bundle/types/bundle.h"
#include "framework/randomid.h"
#include "policy/ikeepwarm.h"
#include "policy/iloadorder.h"
#include "policy/iloadplacement.h"
#include "policy/ireplicachoice.h"

#include <cstdint>
#include <memory>

namespace lagoon::policy {

/// The functions below make the policies with the parameters from the bundle. Each router needs a seed of its own,
/// since routers with equal seeds would all make the same choices.
std::unique_ptr<ILoadPlacement> makeLoadPlacement(const bundle::PolicyParameters&);
std::unique_ptr<IReplicaChoice> makeReplicaChoice(
    const bundle::PolicyParameters&, std::uint64_t seed = framework::randomNumber());
std::unique_ptr<IKeepWarm> makeKeepWarm(const bundle::PolicyParameters&);
std::unique_ptr<ILoadOrder> makeLoadOrder(const bundle::PolicyParameters&);

} // namespace lagoon::policy
