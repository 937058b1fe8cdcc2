#pragma once

#include "soak/faultrecord.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::soak {

/// What happens to the processes during a run.
enum class RunKind : std::uint8_t {
    /// Only planned operations, in series and overlapping: graceful restarts of routers and agents, configuration
    /// changes, engines that are added and removed. Models take seconds to load. Every request must be answered.
    Planned,
    /// Also faults of processes, network, servers and store.
    Mixed,
    /// Planned operations, and a request, or a part of prompts, that crashes the servers that start it.
    Poison,
    /// Planned operations, and servers that name limits of requests.
    Limits,
    /// As mixed, and engines are replaced by ones with other software; callers take their streams up at any router.
    Versions,
    /// As mixed, and callers have keys of customers with quotas, which new versions of the configuration change.
    Customers,
    /// Processes are started in series while what their starts need comes late.
    Starts,
    /// Planned operations, and the store and engines answer with more than fits into the processes' memory.
    Hostile,
    /// Planned operations, and crowds of clients that don't behave at the ports of routers and agents.
    Crowd
};

struct SoakSettings {
    std::uint64_t seed = 1;
    RunKind kind = RunKind::Mixed;
    /// How long operations and faults are started. After that, all faults are ended.
    framework::Milliseconds duration { 5000 };
    std::size_t routers = 2;
    std::size_t engines = 2;
    /// Callers of ordinary requests. By default, their number follows from the seed and the routers.
    std::optional<std::size_t> callers;
    /// Prints each operation and fault when it happens.
    bool isVerbose = false;
};

/// The results of a run.
struct SoakReport {
    /// The invariants that were violated; each names the request or process. Printed as "promises broken".
    std::vector<std::string> violations;
    int requests = 0;
    int served = 0;
    int refused = 0;
    /// Requests whose connection the router closed before it can have read them. Printed as "crossed a close".
    int closedUnread = 0;
    /// Requests that failed or got no whole answer, with an excuse.
    std::map<Excuse, int> excused;
    /// Planned operations and faults. Printed as "faults".
    int steps = 0;
    /// The most memory, in bytes, that a router and an agent used, with bytes received and not yet read.
    std::uint64_t peakRouterMemory = 0;
    std::uint64_t peakAgentMemory = 0;
};

/// The parameters that follow from a run's seed and kind, apart from operations and faults.
struct RunParameters {
    /// The routers' grace period: the maximum time from SIGTERM to their end.
    framework::Milliseconds grace { 8000 };
    framework::Milliseconds loadTime { 0 };
    /// The deadline that requests carry.
    framework::Milliseconds deadline { 2500 };
    /// The route's target latency of a stream's first event. Routers let requests wait up to four times as long.
    framework::Milliseconds targetLatency { 500 };
    std::size_t callers = 4;
    std::vector<std::string> models { "warm", "cold", "colder" };
    /// The headers of ordinary requests.
    std::map<std::string, std::string> headers = {};
};

RunParameters parametersOf(const SoakSettings&);

} // namespace lagoon::soak
