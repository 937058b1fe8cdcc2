#include "agent/internal/servedservices.h"

#include <algorithm>

namespace lagoon::agent {

using framework::Error;
using framework::ErrorCode;

ServedServices::ServedServices(framework::PoolName pool)
    : pool_(std::move(pool))
{
}

void ServedServices::setBundle(bundle::BundlePointer bundle) { bundle_ = std::move(bundle); }

framework::Result<void> ServedServices::beginUse(const Target& target, framework::SteadyTime)
{
    // An agent that starts while the platform is down has no bundle and relies on the router's choice.
    if (target.isService() && !bundle_)
        return framework::success();
    const bundle::Service* service = target.isService() ? bundle_->service(target.service) : nullptr;
    if (service && std::find(service->pools.begin(), service->pools.end(), pool_) != service->pools.end())
        return framework::success();
    return Error { ErrorCode::UnknownService, "admit", target.service.value(), "not served by pool " + pool_.value() };
}

void ServedServices::endUse(const Target&, framework::SteadyTime) { }

} // namespace lagoon::agent
