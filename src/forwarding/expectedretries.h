#pragma once

#include "forwarding/demandplanner.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace lagoon::forwarding {

/// Callers that were refused with a Retry-After because their model would be loaded too late for them. They still count
/// as waiting for the load until they retry. Does no I/O and reads no clock.
///
/// Prevents a load from being postponed forever: callers that wait at most 2 s are all refused at once while the load
/// takes 6 s, so no request waits for the model, and loads for which a single patient caller waits take precedence
/// again and again.
class ExpectedRetries {
public:
    /// `callerDeadline` is the time at which the caller stops retrying.
    void didRefuse(const framework::ServiceName&, const WaitingRequests&, framework::Deadline callerDeadline);
    /// A caller arrived; if retries are expected, it counts as one of them.
    void didArrive(const framework::ServiceName&, const framework::ModelName&);
    /// Drops the expected retries for the model because it is loaded.
    void forget(const framework::ServiceName&, const framework::ModelName&);
    void dropExpired(framework::SteadyTime now);
    std::size_t models() const { return entries_.size(); }
    /// Returns one entry for each model of the service for which retries are expected.
    std::vector<WaitingRequests> expected(const framework::ServiceName&) const;

private:
    struct Entry {
        WaitingRequests waiting;
        /// One deadline for each caller, in ascending order.
        std::vector<framework::Deadline> callerDeadlines;
    };

    std::map<std::pair<framework::ServiceName, framework::ModelName>, Entry> entries_;
};

} // namespace lagoon::forwarding
