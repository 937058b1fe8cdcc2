#include "policy/policysetup.h"

#include "policy/internal/keepwarm.h"
#include "policy/internal/loadorder.h"
#include "policy/internal/loadplacement.h"
#include "policy/internal/replicachoice.h"

namespace lagoon::policy {

std::unique_ptr<ILoadPlacement> makeLoadPlacement(const bundle::PolicyParameters&)
{
    return std::make_unique<CheapestLoadPlacement>();
}

std::unique_ptr<IReplicaChoice> makeReplicaChoice(const bundle::PolicyParameters&, std::uint64_t seed)
{
    return std::make_unique<BoundedLoadReplicaChoice>(seed);
}

std::unique_ptr<IKeepWarm> makeKeepWarm(const bundle::PolicyParameters& parameters)
{
    return std::make_unique<SkiRentalKeepWarm>(parameters.coldStartWeight);
}

std::unique_ptr<ILoadOrder> makeLoadOrder(const bundle::PolicyParameters&)
{
    return std::make_unique<ValueLoadOrder>();
}

} // namespace lagoon::policy
