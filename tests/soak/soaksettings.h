#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoon::soak {

/// What a run does to its processes.
enum class RunKind : std::uint8_t {
    /// Operators' work alone, in series and overlapping: routers and agents are ended in order and started again,
    /// configurations, engines that come and leave. Models take seconds to load. Every request has to end with an
    /// answer.
    Planned,
    /// Faults of processes, network, servers and store too.
    Mixed
};

struct SoakSettings {
    std::uint64_t seed = 1;
    RunKind kind = RunKind::Mixed;
    /// How long work and faults come; what was broken heals after that.
    framework::Milliseconds duration { 5000 };
    std::size_t routers = 2;
    std::size_t engines = 2;
    bool isVerbose = false;
};

/// What a run found.
struct SoakReport {
    /// Promises that weren't kept; each names the request or process.
    std::vector<std::string> violations;
    int requests = 0;
    int served = 0;
    int refused = 0;
    /// Closed by the router before it can have read them.
    int closedUnread = 0;
    /// Closed without a whole answer by something unplanned that struck.
    int failedDuringFault = 0;
    int steps = 0;
};

/// What follows from a run's seed and kind besides the faults.
struct RunParameters {
    /// Routers' time from their signal to their end.
    framework::Milliseconds grace { 8000 };
    framework::Milliseconds loadTime { 0 };
    /// What requests say that they wait at most.
    framework::Milliseconds deadline { 2500 };
    /// The route's aim for a stream's first event: routers let callers wait four times as long.
    framework::Milliseconds targetLatency { 500 };
    std::size_t callers = 4;
    std::vector<std::string> models { "warm", "cold", "colder" };
};

RunParameters parametersOf(const SoakSettings&);

} // namespace lagoon::soak
