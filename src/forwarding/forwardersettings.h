#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "policy/policyswitches.h"

namespace lagoon::forwarding {

/// What the operators bound for all routers together.
struct ForwarderSettings {
    framework::FailureDomainName failureDomain;
    /// Repeats that a service may get, as a share of its requests and in all beyond that, over all routers.
    double retryShare = 0.2;
    double retryReserve = 50;
    policy::PolicySwitches policy;
};

} // namespace lagoon::forwarding
