#pragma once

#include "agent/internal/upstreamcrashes.h"
#include "agent/iupstream.h"
#include "framework/metrics.h"
#include "framework/types/error.h"
#include "framework/types/time.h"
#include "notices/noticetable.h"

#include <optional>

namespace lagoon::agent {

/// What the upstream says in its answers about whether it takes further requests. Does no I/O and reads no clock.
class UpstreamNotices {
public:
    explicit UpstreamNotices(framework::Metrics&);

    /// This run of the upstream has answered. Returns whether it takes fewer requests from now on than before.
    bool didAnswer(unsigned short status, const HttpHeaders&, UpstreamRunNumber, framework::SteadyTime now);
    bool isLeaving(UpstreamRunNumber) const;
    /// Returns why the upstream takes no request now; std::nullopt if it does.
    std::optional<framework::Error> refusal(UpstreamRunNumber, framework::SteadyTime now) const;

private:
    framework::Metrics& metrics_;
    notices::NoticeTable table_;
};

} // namespace lagoon::agent
