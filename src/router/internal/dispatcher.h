#pragma once

#include "bundle/types/bundle.h"
#include "callers/icaller.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/types/shutdowndeadlines.h"
#include "policy/ireplicachoice.h"
#include "policy/retrybudget.h"
#include "quarantine/requestquarantine.h"
#include "router/internal/agentsessions.h"
#include "router/internal/idempotencykeys.h"
#include "router/internal/placementcache.h"
#include "router/internal/vmdirectory.h"
#include "router/internal/wakes.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lagoon::router {

/// Tracks each accepted request until its single final outcome: routes it to a replica, queues it until a replica is
/// available, retries it on another replica where that is safe, and refuses it as soon as it can't meet its deadline.
/// All methods but `accept` run on the control thread.
class Dispatcher final : public callers::IRequestDispatcher {
public:
    struct Context {
        framework::SiteName site;
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::Metrics& metrics;
        const DispatchSettings& settings;
        VmDirectory& directory;
        PlacementCache& placements;
        AgentSessions& sessions;
        std::function<bundle::BundlePointer()> bundle;
        /// If null, idempotency keys are accepted but not enforced.
        IdempotencyKeys* keys = nullptr;
        quarantine::QuarantineSettings quarantine {};
        /// Passes evidence on crashes on to the other routers.
        std::function<void(const quarantine::EvidenceUpdate&)> shareEvidence = [](const auto&) {};
    };

    explicit Dispatcher(const Context&);

    void accept(callers::CallerRequest, std::shared_ptr<callers::ICallerAnswer>) override;

    void setWakes(Wakes&);
    void setReplicaChoice(std::unique_ptr<policy::IReplicaChoice>);
    void handlePlacements(const SiteTarget&, const std::vector<framework::VmName>&, const std::set<RequestNumber>&);
    /// `homeVersion` is the bundle version by which the home refused.
    void handleRefusal(const framework::Error&, framework::BundleVersion homeVersion, const std::set<RequestNumber>&);
    void handleForecast(const WakeReply&, const std::set<RequestNumber>&);
    /// Starts a graceful shutdown: each request, including those that still arrive, gets its answer within the
    /// deadlines.
    void beginShutdown(const framework::ShutdownDeadlines&);
    std::size_t requests() const { return requests_.size(); }
    /// Recognizes requests that crash their upstreams.
    quarantine::RequestQuarantine& quarantine() { return *quarantine_; }

private:
    struct Request {
        callers::CallerRequest request;
        std::shared_ptr<callers::ICallerAnswer> answer;
        std::uint32_t attempts = 0;
        /// VMs whose agents failed this request.
        std::set<framework::VmName> failed;
        /// Sites whose home reported that no replica is available.
        std::set<framework::SiteName> refusedSites;
        std::optional<framework::Error> lastError;
        /// Whether an earlier attempt may have run.
        bool mayHaveRun = false;
        /// Set while the request waits for a replica.
        std::optional<SiteTarget> waitsFor;
        /// Time at which the request first had to wait for a replica; reset by the dispatch.
        std::optional<framework::SteadyTime> coldSince;
        std::unique_ptr<framework::Timer> deadlineTimer;
        /// Set while the request waits for the newer bundle by which a home refused it.
        std::unique_ptr<framework::Timer> bundleTimer;
        std::optional<framework::Deadline> bundleWaitDeadline;
        /// Set once this router has claimed the request's idempotency key.
        std::optional<ClaimedKey> key;
        /// `agent`, `session`, `sequence` and `stream` describe the latest dispatch; `session` is null without one.
        framework::VmName agent;
        std::shared_ptr<AgentSession> session;
        framework::SequenceNumber sequence;
        std::shared_ptr<AnswerStream> stream;
        quarantine::RequestFingerprint fingerprint;
        /// Set while the request is dispatched under suspicion.
        std::unique_ptr<quarantine::TrialGuard> trial;
    };

    void admit(callers::CallerRequest, std::shared_ptr<callers::ICallerAnswer>);
    void claimKey(RequestNumber, const Request&);
    void route(RequestNumber);
    std::vector<framework::VmName> candidates(const Request&) const;
    bool mayBeDispatched(RequestNumber, const Request&);
    std::vector<framework::VmName> forTrial(const Request&, const std::vector<framework::VmName>&);
    void hold(RequestNumber);
    void routeHeldAt(framework::Deadline);
    void routeHeld();
    void postRouteHeld();
    bool isAtOwnSite(const framework::VmName&) const;
    framework::VmName choose(const Request&, const std::vector<framework::VmName>&);
    void waitForReplica(RequestNumber, Request&);
    std::optional<SiteTarget> nextSite(const Request&) const;
    void dispatch(RequestNumber, Request&, const framework::VmName&);
    wire::fb::DispatchT makeDispatch(const Request&) const;
    void scaleUpIfBusy(const Request&, std::uint32_t inFlight);
    void handleOutcome(RequestNumber, const framework::VmName&, const DispatchOutcome&);
    void handleNotRun(RequestNumber, Request&, const framework::VmName&, const framework::Error&);
    void avoidDraining(const framework::VmName&);
    bool awaitBundle(RequestNumber, Request&, framework::BundleVersion);
    void retry(RequestNumber, Request&, const framework::Error&);
    void deadlinePassed(RequestNumber);
    void giveUp(RequestNumber, framework::ErrorCode, framework::Milliseconds retryAfter);
    bool mayStart() const;
    bool wasSentToAgent(const Request&) const;
    void refuseUnstarted();
    void giveUpAll();
    std::vector<RequestNumber> requestNumbers() const;
    void callerGone(RequestNumber);
    void refuse(RequestNumber, framework::Error);
    void eraseRequest(RequestNumber);
    std::uint32_t replicaCap(const SiteTarget&) const;

    Context context_;
    Wakes* wakes_ = nullptr;
    std::unique_ptr<policy::IReplicaChoice> replicaChoice_;
    policy::RetryBudget retryBudget_;
    std::shared_ptr<quarantine::RequestQuarantine> quarantine_;
    /// Requests that wait for the trial of a copy, or for the verdict on it.
    std::set<RequestNumber> held_;
    bool isRouteHeldPosted_ = false;
    std::unique_ptr<framework::Timer> heldTimer_;
    framework::Deadline heldTimerAt_;
    std::map<RequestNumber, Request> requests_;
    std::map<framework::VmName, std::unique_ptr<framework::Timer>> drainingTimers_;
    std::uint64_t nextNumber_ = 1;
    /// Set once a graceful shutdown has started.
    std::optional<framework::ShutdownDeadlines> shutdownDeadlines_;
    std::unique_ptr<framework::Timer> startByTimer_;
    std::unique_ptr<framework::Timer> answerByTimer_;
};

} // namespace lagoon::router
