#pragma once

#include "framework/types/ids.h"
#include "framework/types/strongtype.h"
#include "framework/types/time.h"
#include "quarantine/types/requestfingerprint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoon::quarantine {

/// Names one run of a server's process. Equal on all routers.
using ServerRunId = framework::StrongType<struct ServerRunIdTag, std::string>;

/// A server that ended, or may have ended, while it ran requests.
struct ServerCrash {
    ServerRunId server;
    framework::SteadyTime endedAt {};
    /// Whether this run of the server is known to have ended. Without that, its connections may only have been cut.
    bool isConfirmed = false;
    /// Whether the server may have been draining without the knowledge of all routers that were cut. Only a restart
    /// then confirms the crash.
    bool mayBeLeaving = false;
    /// The requests that were cut, and when each was sent.
    std::map<RequestFingerprint, framework::SteadyTime> suspects;
};

/// A suspected request that runs alone among its copies, or is about to.
struct Trial {
    RequestFingerprint request;
    /// Random. Of several routers that are about to try copies of a request, the one with the lowest id does.
    std::uint64_t id = 0;
    /// Empty until the request is sent.
    ServerRunId server;
    framework::SteadyTime startedAt {};
    bool hasEnded = false;

    bool isSent() const { return !server.value().empty(); }
};

enum class ClearanceReason : std::uint8_t {
    Served, ///< a run of the request ended well
    Operator, ///< an operator released the request
};

/// Clears a request or part of all crashes before `at`.
struct Clearance {
    RequestFingerprint request;
    /// Random, so that a clearance that is heard again isn't taken for a later one.
    std::uint64_t id = 0;
    framework::SteadyTime at {};
    ClearanceReason reason = ClearanceReason::Served;
    /// The run of a server where a part went on well, which clears the part once: that shows how the part does at this
    /// server, and no more the second time. Empty where that doesn't matter.
    ServerRunId server {};
};

/// Evidence that one process passes on to another.
struct EvidenceUpdate {
    std::vector<ServerCrash> crashes;
    std::vector<Trial> trials;
    std::vector<Clearance> clearances;

    bool isEmpty() const { return crashes.empty() && trials.empty() && clearances.empty(); }
};

} // namespace lagoon::quarantine
