#pragma once

#include "catalog/types/units.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/processidentity.h"
#include "framework/types/time.h"
#include "policy/policyswitches.h"
#include "quarantine/verdicts.h"

#include <cstdint>
#include <string>

namespace lagoon::direct {

/// How slowly callers may send unfinished bodies and read answers.
struct CallerProgress {
    /// In each `bodyTime`, or idle timeout if that is longer, so many bytes of an unfinished body have to arrive.
    framework::Milliseconds bodyTime { 30000 };
    std::uint64_t bodyBytes = 30 * 1024;
    /// In each `answerTime`, so many bytes of unread answers have to be read.
    framework::Milliseconds answerTime { 60000 };
    std::uint64_t answerBytes = 60 * 1024;
};

/// Settings of a direct router. See docs/OPERATING.md for the keys.
struct DirectRouterSettings {
    framework::ProcessIdentity identity;
    /// Endpoint for callers' requests.
    framework::Endpoint callers;
    /// Endpoint for load balancers: any `GET` is answered with 200 while the router accepts new callers, otherwise with
    /// 503.
    framework::Endpoint readiness;
    /// Endpoint for metrics: any `GET` is answered with the counters.
    framework::Endpoint ops;
    framework::Endpoint objectStore;
    /// Port on which each agent listens, on the VM of its engine.
    std::uint16_t agentPort = 0;
    /// The memory that this process may use. Its requests and answers are held in a part of it.
    catalog::MegaBytes memory { 1024 };
    CallerProgress callerProgress;
    /// Retry budget of a service over all routers: a share of its requests, plus a fixed number of retries.
    double retryShare = 0.2;
    double retryReserve = 50;
    /// By how much customers may exceed their quotas for a while, in each quota's unit and over all routers together.
    double quotaTolerance = 0;
    /// Whether requests end whose key is taken away, and by when, from when the store has accepted that.
    bool endsRevokedRequests = false;
    framework::Milliseconds revocationTime { 5000 };
    policy::PolicySwitches policy;
    quarantine::QuarantineSettings quarantine;
    /// Time from the request to shut down until the process is killed.
    framework::Milliseconds grace { 8000 };
    /// Maximum time from when the store knows that a server drains or was removed until the router excludes it from
    /// selection.
    framework::Milliseconds leavingNotice { 2000 };
    /// Maximum time after an outage of the store until the router excludes servers that began to drain, or were
    /// removed, during it.
    framework::Milliseconds outageNotice { 3000 };
    /// Interval in which a server renews its entry in the list.
    framework::Milliseconds heartbeat { 1200 };
};

/// Settings of the agent beside an engine.
struct DirectAgentSettings {
    framework::ProcessIdentity identity;
    /// Endpoint for the routers' links.
    framework::Endpoint link;
    /// Endpoint for metrics, as in `DirectRouterSettings`.
    framework::Endpoint ops;
    framework::Endpoint objectStore;
    framework::Endpoint engine;
    framework::ServiceName service;
};

/// Parses and validates a settings text. The error of the first invalid setting names the source, the key and what was
/// expected.
framework::Result<DirectRouterSettings> parseDirectRouterSettings(const std::string& text, const std::string& source);
framework::Result<DirectAgentSettings> parseDirectAgentSettings(const std::string& text, const std::string& source);

} // namespace lagoon::direct
