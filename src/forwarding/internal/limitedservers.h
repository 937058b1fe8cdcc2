#pragma once

#include "forwarding/internal/upstreamtable.h"
#include "forwarding/irequestdialect.h"
#include "framework/metrics.h"
#include "framework/types/time.h"
#include "ratelimits/limittable.h"

namespace lagoon::forwarding {

/// The key of the server's run that all routers and agents use.
ratelimits::ServerRunKey limitKey(const UpstreamRecord&);

/// The servers that name a limit of requests, as this router knows them. Belongs to the traffic thread.
class LimitedServers {
public:
    explicit LimitedServers(framework::Metrics&);

    /// The head of an answer says this of the server's limit. The answered request was sent at `sentAt`.
    void didAnswer(const UpstreamRecord&, const ratelimits::LimitHeader&, AnswerClass, framework::SteadyTime sentAt,
        framework::SteadyTime now);

private:
    void add(const ratelimits::LimitStatement&, const char* source);

    framework::Metrics& metrics_;
    ratelimits::LimitTable limits_;
};

} // namespace lagoon::forwarding
