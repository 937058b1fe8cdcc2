#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
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

/// How a dispatch ended: whole, or with an error whose `execution` says what is known. Exactly one per dispatch.
using DispatchOutcome = framework::Result<void>;
using OutcomeHandler = std::function<void(const DispatchOutcome&)>;
template <typename Answer> using AnswerHandler = std::function<void(const framework::Result<Answer>&)>;

/// What a session needs of its router.
struct SessionContext {
    framework::VmName ownVm;
    framework::Incarnation ownIncarnation;
    wire::ILinkTransport& transport;
    framework::IControlExecutor& control;
    const framework::IClock& clock;
    framework::Metrics& metrics;
    const DispatchSettings& settings;
    std::function<framework::BundleVersion()> bundleVersion;
    /// A peer has seen this version.
    std::function<void(framework::BundleVersion)> observeVersion;
};

/// Load numbers as the agent last said.
struct AgentLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// A router's side of its dealings with one agent, across as many links as that takes.
///
/// Guards "not run" and "at most once" against links that go silent or break: what was sent on a lost link is never
/// sent again; its fate is asked for over the next one (`Resolve`), and only the agent's own word makes it "not run".
/// An agent of another incarnation or session can't know, so the outcome is "unknown". Control thread only, but for
/// the bytes of answers, which go from the link's thread to their stream.
class AgentSession : public std::enable_shared_from_this<AgentSession> {
public:
    AgentSession(const SessionContext&, framework::VmName agent, framework::Endpoint);

    /// Sends the request as soon as a link stands. The dispatch's id, incarnation, session, floor and
    /// remaining time are filled in. The outcome may come after the deadline: who keeps the deadline cancels.
    framework::SequenceNumber dispatch(
        wire::fb::DispatchT, framework::Deadline, std::shared_ptr<AnswerStream>, OutcomeHandler);
    /// Nobody waits any more: the outcome handler won't be called, the agent is told to stop.
    void cancel(framework::SequenceNumber);
    /// Whether the dispatch has left this process; until then nobody can have run it.
    bool wasSent(framework::SequenceNumber) const;
    void requestBid(const wire::fb::TargetT&, framework::BundleVersion, AnswerHandler<wire::fb::BidT>);
    void load(wire::fb::LoadT, AnswerHandler<wire::fb::LoadResultT>);
    /// The platform says that the VM no longer exists.
    void setGone();
    void close();

    const framework::VmName& agent() const { return agent_; }
    const framework::Endpoint& endpoint() const { return endpoint_; }
    std::size_t inFlight() const { return inFlight_.size(); }
    AgentLoad agentLoad() const { return load_; }
    bool isSuspect() const { return isSuspect_; }
    double firstByteSeconds() const { return firstByteSeconds_; }
    /// When `firstByteSeconds` last changed.
    framework::SteadyTime lastAnswer() const { return lastAnswer_; }

private:
    /// A dispatch without outcome.
    struct InFlight {
        wire::fb::DispatchT frame;
        std::shared_ptr<AnswerStream> stream;
        OutcomeHandler onOutcome;
        /// Handed to some link; from then on only the agent can say that it didn't run.
        bool wasSent = false;
        framework::SteadyTime dispatchedAt {};
        framework::Deadline deadline;
    };
    /// A question with one answer, tried on one link only: bids and loads are harmless to ask again.
    struct Query {
        std::function<void(const framework::Result<const wire::Message*>&)> onAnswer;
    };

    void connect();
    void receive(const std::shared_ptr<wire::ILink>&, wire::Message);
    void handle(const std::shared_ptr<wire::ILink>&, const wire::Message&);
    void handleHello(const wire::fb::HelloAckT&);
    void handleEnd(const wire::fb::AnswerEndT&);
    void handleRefused(const wire::fb::RefusedT&);
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
    std::uint64_t floor() const;
    std::shared_ptr<AnswerStream> streamOf(std::uint64_t sequence) const;
    bool isOwnId(const wire::fb::DispatchIdT&) const;
    framework::Error error(framework::ErrorCode, std::string step, std::string detail, framework::Execution) const;

    SessionContext context_;
    framework::VmName agent_;
    framework::Endpoint endpoint_;

    std::shared_ptr<wire::ILink> link_;
    bool isOpen_ = false;
    /// Of the agent process that this session's sent dispatches went to; 0 before the first hello.
    std::uint64_t agentIncarnation_ = 0;
    std::uint64_t session_ = 0;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t nextCorrelation_ = 1;
    std::map<std::uint64_t, InFlight> inFlight_;
    std::map<std::uint64_t, Query> pendingQueries_;
    std::vector<wire::Message> unsentQueries_;
    std::uint32_t settledSinceFloor_ = 0;
    AgentLoad load_;
    bool isSuspect_ = false;
    double firstByteSeconds_ = 0;
    framework::SteadyTime lastAnswer_ {};

    std::unique_ptr<framework::Timer> tickTimer_;
    framework::Deadline tickAt_;
    framework::Deadline nextPing_;
    framework::Deadline idleUntil_;
    std::uint32_t failedConnects_ = 0;
    framework::Deadline connectAt_;
    std::atomic<framework::SteadyTime::rep> lastReceived_ { 0 };

    /// Streams by sequence, for the links' threads.
    mutable std::mutex streamsMutex_;
    std::unordered_map<std::uint64_t, std::shared_ptr<AnswerStream>> streams_;
};

} // namespace lagoon::router
