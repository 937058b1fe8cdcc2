#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/loglimiter.h"
#include "framework/metrics.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "http/answerfault.h"
#include "quarantine/requestquarantine.h"
#include "router/internal/answerstream.h"
#include "router/types/routersettings.h"
#include "wire/ilink.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace lagoon::router {

/// Result of a dispatch: a complete answer, or an error whose `execution` states whether the request may have run. Each
/// dispatch has exactly one outcome.
using DispatchOutcome = framework::Result<void>;
using OutcomeHandler = std::function<void(const DispatchOutcome&)>;
template <typename Answer> using AnswerHandler = std::function<void(const framework::Result<Answer>&)>;

/// Dependencies of a session.
struct SessionContext {
    framework::VmName ownVm;
    framework::Incarnation ownIncarnation;
    wire::ILinkTransport& transport;
    framework::IControlExecutor& control;
    const framework::IClock& clock;
    framework::Metrics& metrics;
    const DispatchSettings& settings;
    std::function<framework::BundleVersion()> bundleVersion;
    /// Called with each bundle version that a peer reports.
    std::function<void(framework::BundleVersion)> observeVersion;
    /// Called with the evidence on crashes that an agent sends.
    std::function<void(const framework::VmName& agent, const wire::fb::CrashEvidenceT&)> didReceiveEvidence
        = [](const auto&, const auto&) {};
    /// Called before the outcome of a dispatch whose upstream's connection broke.
    std::function<void(const quarantine::CutRequest&)> didCut = [](const auto&) {};
    /// Called when the link to an agent that understands evidence has been opened.
    std::function<void(const framework::VmName& agent)> didOpenToEvidence = [](const auto&) {};
};

/// Load that the agent last reported.
struct AgentLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// The router's end of a session with one agent. A session outlives its links: a lost link is replaced by a new one.
///
/// Ensures "not run" and "at most once" when links go silent or break: a dispatch that was sent on a lost link is never
/// sent again. The session queries its state over the next link (`Resolve`), and only the agent can report "not run".
/// An agent with another incarnation or session has no record of the dispatch, so the outcome is "unknown". Used on the
/// control thread only, except for answer bytes, which go from the link's thread directly to their stream.
class AgentSession : public std::enable_shared_from_this<AgentSession> {
public:
    AgentSession(const SessionContext&, framework::VmName agent, framework::Endpoint);

    /// Sends the request as soon as a link is open, and fills in the dispatch's id, incarnation, session, floor and
    /// remaining time. The outcome may arrive after the deadline: the session doesn't enforce it, the caller has to
    /// cancel the dispatch.
    framework::SequenceNumber dispatch(
        wire::fb::DispatchT, framework::Deadline, std::shared_ptr<AnswerStream>, OutcomeHandler);
    /// Tells the agent to stop the dispatch. The outcome handler won't be called.
    void cancel(framework::SequenceNumber);
    /// Whether the dispatch was handed to a link; true also if it has already ended. A dispatch that wasn't sent can't
    /// have run.
    bool wasSent(framework::SequenceNumber) const;
    void requestBid(const wire::fb::TargetT&, framework::BundleVersion, AnswerHandler<wire::fb::BidT>);
    void load(wire::fb::LoadT, AnswerHandler<wire::fb::LoadResultT>);
    /// While set, the link is opened and checked as if there were work in flight.
    void setKeptOpen(bool isKeptOpen);
    /// Sends evidence if the link is open and the agent understands it.
    void sendEvidence(const wire::Message&);
    /// Whether evidence that is sent now reaches the agent.
    bool takesEvidence() const { return isOpen_ && takesEvidence_; }
    /// Fails all work in flight, because the platform reports that the VM no longer exists.
    void setGone();
    void close();

    const framework::VmName& agent() const { return agent_; }
    const framework::Endpoint& endpoint() const { return endpoint_; }
    std::size_t inFlight() const { return inFlight_.size(); }
    AgentLoad agentLoad() const { return load_; }
    /// Whether the last link was lost and no new one is open yet.
    bool isSuspect() const { return isSuspect_; }
    /// Moving average of the time from a dispatch to the head of its answer; 0 before the first answer.
    double firstByteSeconds() const { return firstByteSeconds_; }
    /// Time of the last change of `firstByteSeconds`.
    framework::SteadyTime lastAnswer() const { return lastAnswer_; }

private:
    /// A dispatch that has no outcome yet.
    struct InFlight {
        wire::fb::DispatchT frame;
        std::shared_ptr<AnswerStream> stream;
        OutcomeHandler onOutcome;
        /// Set once the dispatch was handed to a link. From then on only the agent can report that it didn't run.
        bool wasSent = false;
        framework::SteadyTime dispatchedAt {};
        framework::Deadline deadline;
    };
    /// A bid or load request that waits for its one response. It fails with its link and isn't resent, since the home
    /// can safely repeat bid and load requests.
    struct Query {
        std::function<void(const framework::Result<const wire::Message*>&)> onAnswer;
    };

    void connect();
    void receive(const std::shared_ptr<wire::ILink>&, wire::Message);
    void receiveHead(const wire::fb::AnswerHeadT&);
    void failMalformed(framework::SequenceNumber, const http::AnswerFault&);
    void handle(const std::shared_ptr<wire::ILink>&, const wire::Message&);
    void handleHello(const wire::fb::HelloAckT&);
    void handleEnd(const wire::fb::AnswerEndT&);
    void handleRefused(const wire::fb::RefusedT&);
    void noteCut(const wire::fb::RefusedT&) const;
    void completeQuery(std::uint64_t correlation, const wire::Message&);
    void linkLost(const framework::Error&);
    void dropLink();
    void failQueries(const framework::Error&);
    void failUnsent(const framework::Error&);
    void failSent(const framework::Error&);
    void failEach(bool wasSent, const framework::Error&);
    void send(InFlight&);
    void resolve(const InFlight&);
    void sendCancel(const InFlight&);
    void settle(framework::SequenceNumber, const DispatchOutcome&);
    void sendQuery(std::uint64_t correlation, wire::Message, Query);
    void armTick();
    void armTickAt(framework::Deadline);
    void tick();
    /// The lowest sequence number without an outcome. The agent may drop its records of all lower ones.
    std::uint64_t floor() const;
    std::shared_ptr<AnswerStream> streamOf(std::uint64_t sequence) const;
    bool isOwnId(const wire::fb::DispatchIdT&) const;
    framework::Error error(framework::ErrorCode, std::string step, std::string detail, framework::Execution) const;

    SessionContext context_;
    framework::VmName agent_;
    framework::Endpoint endpoint_;

    std::shared_ptr<wire::ILink> link_;
    bool isOpen_ = false;
    bool isKeptOpen_ = false;
    /// Whether the agent at the other end of the link understands evidence.
    bool takesEvidence_ = false;
    /// Incarnation of the agent process that received this session's dispatches; 0 before the first hello.
    std::uint64_t agentIncarnation_ = 0;
    std::uint64_t session_ = 0;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t nextCorrelation_ = 1;
    std::map<std::uint64_t, InFlight> inFlight_;
    std::map<std::uint64_t, Query> pendingQueries_;
    std::vector<wire::Message> unsentQueries_;
    /// Number of dispatches settled since the last `Settle` frame.
    std::uint32_t settledSinceFloor_ = 0;
    framework::LogLimiter malformedLines_;
    AgentLoad load_;
    bool isSuspect_ = false;
    double firstByteSeconds_ = 0;
    framework::SteadyTime lastAnswer_ {};

    std::unique_ptr<framework::Timer> tickTimer_;
    framework::Deadline tickAt_;
    framework::Deadline nextPing_;
    /// Time at which the idle link is closed; not set while the session has work.
    framework::Deadline idleUntil_;
    std::uint32_t failedConnects_ = 0;
    framework::Deadline connectAt_;
    /// Time from which the silence limit counts, in ticks of `SteadyTime`. Set to the current time by the links'
    /// threads for each received frame.
    std::atomic<framework::SteadyTime::rep> lastReceived_ { 0 };

    /// Answer streams by sequence number, accessed from the links' threads.
    mutable std::mutex streamsMutex_;
    std::unordered_map<std::uint64_t, std::shared_ptr<AnswerStream>> streams_;
};

} // namespace lagoon::router
