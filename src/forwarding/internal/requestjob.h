#pragma once

#include "catalog/types/configuration.h"
#include "fairness/fairshares.h"
#include "forwarding/eventsplitter.h"
#include "forwarding/internal/answertiming.h"
#include "forwarding/internal/ijobhost.h"
#include "forwarding/internal/limitedservers.h"
#include "forwarding/internal/quotaclaim.h"
#include "forwarding/internal/upstreamchoice.h"
#include "forwarding/promptcache.h"
#include "framework/types/shutdowndeadlines.h"
#include "http/clientconnection.h"
#include "http/iexchange.h"
#include "quarantine/types/requestidentity.h"
#include "streams/istreamorigins.h"

#include <memory>
#include <optional>
#include <string>

namespace lagoon::forwarding {

class UpstreamAttempt;

/// A request's properties and the limits that apply to it; fixed when it arrives.
struct JobSpec {
    /// Keeps `route` alive.
    catalog::ConfigurationPointer configuration;
    const catalog::Route* route = nullptr;
    /// Who sends the request; nullptr if callers aren't told apart, or if the route is public and the request names no
    /// customer. Kept alive by `configuration`.
    const catalog::Customer* customer = nullptr;
    /// The key that admitted the request; std::nullopt if it needed none.
    std::optional<catalog::KeyDigest> key;
    /// The rank of the request among all others: 0 is the most urgent.
    std::uint32_t priority = 0;
    /// When it goes among those of its rank, for the sake of other customers.
    fairness::Turn turn = fairness::Turn::Usual;
    framework::ServiceName service;
    RequestFacts facts;
    /// By which the request is recognized if it crashes servers.
    quarantine::RequestIdentity identity;
    /// The deadline of the final answer: that of the caller, the route or the shutdown of this process, whichever is
    /// first.
    framework::Deadline deadline;
    /// When the caller disconnects if it hasn't received anything; no later than `deadline`.
    framework::Deadline firstEventBy;
};

/// One request from its receipt to its one final answer.
///
/// The request waits until a server can take it, is sent, and its answer is relayed. If the request certainly hasn't
/// run, or may run twice, it is retried within the operators' limits.
class RequestJob final : public std::enable_shared_from_this<RequestJob> {
public:
    RequestJob(IJobHost&, std::shared_ptr<http::IExchange>, JobSpec);
    ~RequestJob();
    RequestJob(const RequestJob&) = delete;
    RequestJob& operator=(const RequestJob&) = delete;

    /// Runs an event's action. If it throws, the request ends with 500, or its stream is broken off: nothing else may
    /// come that would end it, and it must not be sent again.
    template <typename Action> void runGuarded(Action action)
    {
        const auto keepAlive = shared_from_this();
        try {
            action();
        } catch (...) {
            failAfterException();
        }
    }
    void start();
    /// The process shuts down: the request gets its final answer before the shutdown deadline.
    void beginShutdown(const framework::ShutdownDeadlines&);
    /// No customer holds the request's key any more: a request that waits is refused, one that runs ends by this time.
    void didRevokeKey(framework::Deadline endBy);
    /// When this returns, the request has its final answer or its stream is broken off.
    void answerNow();
    /// Sends the request if a server can take it. Called again whenever that may have changed.
    void advance();
    /// Retries the request at another server, if that is allowed, when its server has fallen silent: the caller
    /// disconnects within seconds, but a VM may stall for longer.
    void failOverIfSilent();
    bool isWaiting() const { return !isEnded_ && !attempt_; }
    /// Whether it waits for its turn at a server that limits its requests.
    bool isInTurn() const { return isWaiting() && permit_ && permit_->mayWait; }
    /// The model or adapter that the request waits for; std::nullopt if it waits for something else.
    std::optional<WaitingRequests> waitingFor() const;
    /// Refuses the request as not run because it can't be served before its deadline. `timeUntilLoaded` is when it
    /// could have been served.
    void refuseAsHopeless(framework::Milliseconds timeUntilLoaded);
    /// Whether there are servers for the request that don't take it, because they limit their requests or rest.
    bool isHeldBack() const { return isWaiting() && heldBack_.has_value(); }
    /// Refuses the request as not run because it is held back.
    void refuseAsHeldBack();

    const JobSpec& spec() const { return spec_; }
    framework::Milliseconds waited(framework::SteadyTime now) const
    {
        return std::chrono::duration_cast<framework::Milliseconds>(now - exchange_->receivedAt());
    }
    bool mayHaveRun() const { return mayHaveRun_; }
    void logUnanswered() const;

    // The attempt in flight calls the following functions.

    /// Prevents a request from reaching a server after its caller has disconnected: a busy event loop may process
    /// disconnects a second late.
    bool endIfCallerDisconnected();
    /// Prevents a request from reaching a server that leaves or rests meanwhile: opening a connection may take a
    /// second.
    void failOverIfServerRefuses();
    /// Prevents a request from reaching a server if it has come under suspicion since the server was chosen. Returns
    /// whether it was held back or refused.
    bool holdIfSuspected();
    void didSeeActivity(UpstreamRecord&);
    /// The server has answered, so it didn't crash before the request was sent.
    void didSeeAnswer(const UpstreamRecord&);
    /// The head of the server's answer, which is of this class.
    void didReceiveHead(UpstreamRecord&, const http::ResponseHead&, AnswerClass);
    void didBeginStream(const http::ResponseHead&);
    void didReceiveEvents(std::string_view bytes);
    /// `isFramed` is false if nothing but the end of the connection shows that the stream is whole.
    void didEndStream(bool isFramed);
    void didAnswer(const http::ResponseHead&, std::string body);
    void didFailAtServer(const http::ResponseHead&, std::string body);
    void didReject(AnswerClass, unsigned status);
    /// The attempt ended without a complete answer. `mayHaveRun` is false if the request certainly hasn't reached the
    /// server.
    void didEndWithoutAnswer(const std::string& cause, bool mayHaveRun);
    void didLoseConnection(const http::ClientFailure&);

private:
    void didReceivePart();
    bool isMissed(unsigned status) const;
    void noteSurvival();
    quarantine::ServerRunId serverRun() const;
    quarantine::CutRequest cutRequest() const;
    void noteCut();
    bool isStream() const { return spec_.route->kind == catalog::RouteKind::Streaming; }
    /// Whether the caller has events of the stream already.
    bool isTakenUp() const { return isStream() && (spec_.facts.lastEvent || !spec_.facts.resumedAttempt.empty()); }
    void didClaimQuota(const quotas::DrawReply&);
    void beginSearch();
    void findOrigin();
    void didFindOrigin(const streams::OriginAnswer&);
    const char* takeUpOutcome(const std::optional<streams::StreamOrigin>&) const;
    std::optional<streams::StreamOrigin> originAt(const UpstreamRecord&) const;
    streams::DispatchRecord nextRecord(std::optional<streams::StreamOrigin>);
    void recordOrigin(const std::optional<streams::StreamOrigin>&);
    void retractOrigin();
    void didRetractOrigin(bool isConfirmed);
    bool isForModel() const { return !spec_.facts.model.value().empty(); }
    bool mayRetry() const;
    catalog::ModelTarget target() const;
    void sendOrRetract(const ChosenUpstream&, bool isTrial);
    void send(const ChosenUpstream&, bool isTrial);
    void withdrawAttempt(const std::string& cause);
    http::Request forwardedRequest(const UpstreamRecord&) const;
    void retryOrRefuse(const std::string& cause, unsigned refusalStatus);
    framework::Milliseconds retryAfterFailure() const;
    void relayAnswer(const http::ResponseHead&, std::string body, const char* outcome);
    void refuse(unsigned status, const std::string& cause, std::optional<framework::Milliseconds> retryAfter);
    void refuseAsOverloaded(framework::Milliseconds expected);
    void refuseAsQuarantined();
    void refuseAsRevoked();
    bool mayBeLoadedElsewhere(const UpstreamSearch&) const;
    void askForPermit(const UpstreamSearch&);
    void didDecidePermit(const ratelimits::PermitNumber&, const ratelimits::PermitReply&);
    void dropPermit();
    void returnUsedPermit();
    void refuseForVersion();
    bool hasAlternativeServer() const;
    bool mayGoOnAt(const UpstreamRecord&) const;
    void abandonAttempt();
    void breakOff(const std::string& cause);
    void failAfterException();
    void armDeadline();
    bool isTooLateToStart() const;
    void didPassDeadline();
    void didLoseCaller();
    void end(const char* outcome, unsigned status, const std::string& cause);

    /// A server's own answer that the request failed, which is relayed if no other server succeeds.
    struct ServerFailure {
        http::ResponseHead head;
        std::string body;
    };

    /// Why the servers for the request don't take it, and when one may.
    struct HeldBack {
        framework::Deadline until;
        NoUpstream reason = NoUpstream::RateLimited;
    };

    IJobHost& host_;
    std::shared_ptr<http::IExchange> exchange_;
    JobSpec spec_;
    PromptChain prompt_;
    QuotaClaim quota_;
    std::unique_ptr<framework::Timer> deadlineTimer_;
    std::shared_ptr<UpstreamAttempt> attempt_;
    TriedServers tried_;
    /// The permit that the request waits for, or has got for its next send.
    std::optional<RequestPermit> permit_;
    /// The permit of the request in flight.
    std::optional<RequestPermit> usedPermit_;
    std::optional<HeldBack> heldBack_;
    /// The version of the server to which the request was last sent.
    std::optional<catalog::SoftwareVersion> sentVersion_;
    /// A question about the origin of the stream is open; nothing is sent before it is answered.
    bool awaitsOrigin_ = false;
    /// Statements to the other routers about the software that the request is sent to.
    std::uint32_t originRecords_ = 0;
    /// The last of these; std::nullopt if the others take it for unknown.
    std::optional<streams::StreamOrigin> recordedOrigin_;
    /// What a server needs to send the next event; std::nullopt as long as any server may begin the stream.
    std::optional<RequiredVersion> required_;
    std::uint32_t sends_ = 0;
    framework::SteadyTime sentAt_ {};
    std::uint32_t connectFailures_ = 0;
    bool mayHaveRun_ = false;
    std::optional<ServerFailure> failure_;
    bool hasStreamBegun_ = false;
    bool isEnded_ = false;
    bool waitsForLoad_ = false;
    /// Whether the process ends before the request's own deadline.
    bool isCutByShutdown_ = false;
    bool isKeyRevoked_ = false;
    /// Set during shutdown: the request is refused if no server has it by this time.
    std::optional<framework::Deadline> startBy_;
    bool waitsForAdapter_ = false;
    /// The engine that is to load what this request waits for; empty if any engine may.
    framework::Endpoint loadAt_;
    std::string lastCause_;
    EventSplitter events_;
    /// When the server of the request in flight has written for long enough to show that the request doesn't crash it.
    std::optional<framework::Deadline> survivedAt_;
    bool hasSurvived_ = false;
    AnswerTiming timing_;
    std::string lastServer_;
};

} // namespace lagoon::forwarding
