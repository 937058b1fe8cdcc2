#pragma once

#include "forwarding/demandplanner.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace lagoon::forwarding {

/// Callers that were refused as their model's load would end too late for them, and were told when to come back. They
/// go on counting as waiting for the load. Without I/O or clock.
///
/// Guards against a load that never comes: callers who leave after two seconds are all refused at once while a load is
/// six away, so nobody waits for the model, and loads for which one patient caller waits go before it again and again.
class ExpectedRetries {
public:
    /// `callerDeadline`: when the caller gives up for good.
    void didRefuse(const framework::ServiceName&, const WaitingRequests&, framework::Deadline callerDeadline);
    /// A caller came; where some are expected back, it is taken for one of them.
    void didArrive(const framework::ServiceName&, const framework::ModelName&);
    /// The model is there.
    void forget(const framework::ServiceName&, const framework::ModelName&);
    void dropExpired(framework::SteadyTime now);
    /// One entry for each model of the service that some are expected back for.
    std::vector<WaitingRequests> expected(const framework::ServiceName&) const;

private:
    struct Entry {
        WaitingRequests waiting;
        /// One for each caller, the first first.
        std::vector<framework::Deadline> callerDeadlines;
    };

    std::map<std::pair<framework::ServiceName, framework::ModelName>, Entry> entries_;
};

} // namespace lagoon::forwarding
