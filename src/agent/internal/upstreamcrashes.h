#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/types/ids.h"
#include "quarantine/evidencesharing.h"
#include "quarantine/requestquarantine.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace lagoon::agent {

/// Counts the runs of the upstream's process that this agent has seen.
using UpstreamRunNumber = framework::StrongType<struct UpstreamRunNumberTag, std::uint64_t>;

/// Recognizes which requests were running when the upstream crashed, and tells the routers, which judge them. Also
/// passes on what the routers tell each other. Control thread only.
class UpstreamCrashes {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        std::shared_ptr<framework::Metrics> metrics;
        framework::VmName vm;
        framework::Incarnation incarnation;
        /// Finds out, without blocking, whether the upstream still accepts connections, and calls the handler on the
        /// control thread.
        std::function<void(std::function<void(bool accepts)>)> probe;
        /// Sends a message to all routers that understand evidence.
        std::function<void(const wire::Message&)> send;
    };

    explicit UpstreamCrashes(Context);

    UpstreamRunNumber currentRun() const { return run_; }
    /// The connection of a request that was started at this time, in this run, broke.
    void didCut(const quarantine::RequestFingerprint&, UpstreamRunNumber, framework::SteadyTime startedAt);
    /// Finds out whether the upstream's process still runs.
    void checkRun();
    /// The upstream reports that it has restarted.
    void didRestart();
    /// The upstream has answered a request that was started at this time.
    void didAnswer(framework::SteadyTime startedAt);

    void receive(const wire::fb::CrashEvidenceT&);
    /// Returns the messages with all evidence, for a router that has just connected.
    std::vector<wire::Message> everything() { return sharing_.everything(); }

    /// The name of a run of this upstream, as routers know it.
    quarantine::ServerRunId idOf(UpstreamRunNumber) const;

private:
    void checkRun(UpstreamRunNumber);
    void recheckLater(UpstreamRunNumber, int left);
    void didEndRun(UpstreamRunNumber, quarantine::EndSign);

    Context context_;
    UpstreamRunNumber run_ { 1 };
    std::unique_ptr<framework::Timer> recheckTimer_;
    quarantine::EvidenceSharing sharing_;
    std::shared_ptr<quarantine::RequestQuarantine> quarantine_;
};

} // namespace lagoon::agent
