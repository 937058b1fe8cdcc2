#pragma once

#include "agent/iservedtargets.h"
#include "bundle/types/bundle.h"

namespace lagoon::agent {

/// Served targets of an upstream that is a plain service: the services that the bundle assigns to its pool.
class ServedServices final : public IServedTargets {
public:
    explicit ServedServices(framework::PoolName);
    void setBundle(bundle::BundlePointer);

    framework::Result<void> beginUse(const Target&, framework::SteadyTime now) override;
    void endUse(const Target&, framework::SteadyTime now) override;

private:
    framework::PoolName pool_;
    bundle::BundlePointer bundle_;
};

} // namespace lagoon::agent
