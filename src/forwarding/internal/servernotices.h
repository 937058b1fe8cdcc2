#pragma once

#include "forwarding/internal/upstreamtable.h"
#include "forwarding/irequestdialect.h"
#include "framework/metrics.h"
#include "framework/types/time.h"
#include "notices/types/servernotice.h"

namespace lagoon::forwarding {

/// Passes what servers say in their answers on to the table of servers, and logs it. Belongs to the traffic thread.
class ServerNotices {
public:
    ServerNotices(framework::Metrics& metrics, UpstreamTable& upstreams)
        : metrics_(metrics)
        , upstreams_(upstreams)
    {
    }

    /// Returns whether the server takes fewer requests from now on than before.
    bool didAnswer(UpstreamRecord&, const notices::ServerNotice&, AnswerClass, framework::SteadyTime now);

private:
    framework::Metrics& metrics_;
    UpstreamTable& upstreams_;
};

} // namespace lagoon::forwarding
