#pragma once

#include "agent/agentsettings.h"
#include "agent/internal/admissionqueue.h"
#include "agent/internal/requestledger.h"
#include "agent/internal/servicetimes.h"
#include "agent/internal/upstreamcrashes.h"
#include "agent/internal/upstreamlimit.h"
#include "agent/internal/upstreamnotices.h"
#include "agent/iservedtargets.h"
#include "agent/iupstream.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/types/shutdowndeadlines.h"
#include "wire/ilink.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lagoon::agent {

/// Dependencies of a RequestGate.
struct GatePorts {
    framework::IControlExecutor& control;
    const framework::IClock& clock;
    IServedTargets& targets;
    std::shared_ptr<IUpstream> upstream;
    std::shared_ptr<framework::Metrics> metrics;
    /// Null if crashes of the upstream aren't traced to requests.
    UpstreamCrashes* crashes = nullptr;
};

/// Handles dispatches from routers: passes each through the ledger, the admission queue and the upstream, and sends
/// exactly one answer or refusal. The work doesn't depend on the link that the dispatch came over: when the link goes
/// silent, the work continues and its answer is kept for `resolve`. Control thread only.
class RequestGate {
public:
    RequestGate(GatePorts, framework::Incarnation own, const AgentLimits&);

    void dispatch(const std::shared_ptr<wire::ILink>&, wire::fb::DispatchT);
    void cancel(const wire::fb::CancelT&);
    void resolve(const std::shared_ptr<wire::ILink>&, const wire::fb::ResolveT&);
    void settle(framework::Incarnation router, std::uint64_t session, framework::SequenceNumber floor);
    std::uint64_t openSession(framework::Incarnation router);
    void linkOpened(framework::Incarnation router);
    void linkClosed(framework::Incarnation router);
    /// Drops the ledger entries of routers that have been disconnected for too long.
    void forgetDisconnectedRouters();
    /// From now on new dispatches are refused as not run, and accepted ones end in time for the process to exit.
    void beginDraining(const framework::ShutdownDeadlines&);

    std::uint32_t running() const { return admission_.running(); }
    std::uint32_t waiting() const { return admission_.waiting(); }
    bool isIdle() const { return calls_.empty(); }
    /// Whether the upstream has said that it finishes its requests and ends soon.
    bool isUpstreamLeaving() const { return notices_.isLeaving(currentRun()); }
    /// Whether routers have confirmed all answers.
    bool isSettled() const { return isIdle() && ledger_.entries() == 0; }
    const RequestLedger& ledger() const { return ledger_; }

private:
    /// A dispatch that waits or runs.
    struct Call {
        Target target;
        UpstreamRequest request;
        std::shared_ptr<wire::ILink> link;
        std::unique_ptr<framework::Timer> deadlineTimer;
        std::shared_ptr<IUpstreamCall> upstream;
        /// Why the call was stopped; replaces the error that the upstream then reports.
        std::optional<framework::Error> stopReason;
        framework::SteadyTime receivedAt {};
        framework::SteadyTime startedAt {};
        std::optional<quarantine::RequestFingerprint> fingerprint;
        /// The run of the upstream's process in which the call was started.
        UpstreamRunNumber upstreamRun;
        /// The run whose connection broke under the call; empty if none did.
        quarantine::ServerRunId cutAt;
    };

    void admit(const DispatchKey&, Call);
    void startQueued();
    void run(const DispatchKey&);
    void stop(const DispatchKey&, framework::Error);
    void handleHead(const DispatchKey&, unsigned short status, HttpHeaders);
    void noteNotice(const Call&, unsigned short status, const HttpHeaders&);
    void refuseWaiting();
    void checkRunOfUnavailable();
    UpstreamRunNumber currentRun() const;
    void handleBytes(const DispatchKey&, std::string);
    void handleEnd(const DispatchKey&);
    void handleFailure(const DispatchKey&, const framework::Error&);
    void noteCut(Call&, const framework::Error&);
    void end(const DispatchKey&, std::optional<framework::Error>);
    void stopAbandoned();
    void refuse(const std::shared_ptr<wire::ILink>&, const DispatchKey&, const framework::Error&,
        const quarantine::ServerRunId& cutAt = {});
    void sendStored(const std::shared_ptr<wire::ILink>&, const DispatchKey&, std::uint64_t from);
    void sendHead(wire::ILink&, const DispatchKey&, const StoredAnswer&);
    void sendEnd(wire::ILink&, const DispatchKey&, const StoredAnswer&);
    void publishMetrics();
    std::optional<framework::Error> admissionRefusal(const Call&) const;
    std::optional<framework::Error> queueRefusal(const WaitingDispatch&, const Target&);
    std::optional<framework::Error> limitRefusal(const WaitingDispatch&);
    framework::Deadline answerDeadline(framework::Deadline ofRequest) const;
    void armQueueTimer(const DispatchKey&, Call&);
    void refuseHopeless(const Target&);
    void armRunTimer(const DispatchKey&, Call&);
    void recordServiceTime(const Call&, bool isComplete);
    Call* find(const DispatchKey&);

    GatePorts ports_;
    AgentLimits limits_;
    RequestLedger ledger_;
    AdmissionQueue admission_;
    UpstreamLimit upstreamLimit_;
    /// Starts the next request once the upstream's limit allows it.
    std::unique_ptr<framework::Timer> limitTimer_;
    UpstreamNotices notices_;
    /// Checks whether an upstream that leaves or rests has ended, so that its successor is used.
    std::unique_ptr<framework::Timer> runCheckTimer_;
    ServiceTimes serviceTimes_;
    std::map<DispatchKey, Call> calls_;
    /// Set while draining.
    std::optional<framework::ShutdownDeadlines> shutdownDeadlines_;
};

} // namespace lagoon::agent
