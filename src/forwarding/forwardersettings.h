#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "policy/policyswitches.h"
#include "quarantine/verdicts.h"

namespace lagoon::forwarding {

/// What happens to pending requests whose key a new configuration doesn't name any more.
struct RevocationSettings {
    /// Whether they end; otherwise they go on.
    bool endsRequests = false;
    /// By when they have ended, from when the store has accepted that configuration.
    framework::Milliseconds within { 5000 };
};

/// Limits that the operators set for all routers together, and this router's failure domain.
struct ForwarderSettings {
    framework::FailureDomainName failureDomain;
    /// Retry budget of a service over all routers: a share of its requests, plus a fixed reserve.
    double retryShare = 0.2;
    double retryReserve = 50;
    policy::PolicySwitches policy;
    quarantine::QuarantineSettings quarantine;
    /// The configuration may be outdated once its last confirmation is older than this.
    framework::Milliseconds maxUnconfirmed { 4500 };
    RevocationSettings revocation;
};

} // namespace lagoon::forwarding
