#pragma once

#include "catalog/types/configuration.h"
#include "forwarding/eventsplitter.h"
#include "forwarding/internal/ijobhost.h"
#include "forwarding/internal/upstreamchoice.h"
#include "forwarding/promptcache.h"
#include "framework/types/shutdowndeadlines.h"
#include "http/iexchange.h"

#include <memory>
#include <optional>
#include <string>

namespace lagoon::forwarding {

class UpstreamAttempt;

/// A request's facts and the operator's decisions on it; fixed when it comes.
struct JobTerms {
    /// Keeps `route` alive.
    catalog::ConfigurationPointer configuration;
    const catalog::Route* route = nullptr;
    framework::ServiceName service;
    RequestFacts facts;
    /// Of the final answer: the caller's, the route's or the end of this process, whichever comes first.
    framework::Deadline deadline;
    /// When the caller leaves if nothing has come; no later than `deadline`.
    framework::Deadline firstEventBy;
};

/// One request from its receipt to its one final answer.
///
/// It waits until a server can take it, is sent, and its answer is passed on. What surely hasn't run, or may run twice,
/// is sent once more if the operator's limits allow it.
class RequestJob final : public std::enable_shared_from_this<RequestJob> {
public:
    RequestJob(IJobHost&, std::shared_ptr<http::IExchange>, JobTerms);
    ~RequestJob();
    RequestJob(const RequestJob&) = delete;
    RequestJob& operator=(const RequestJob&) = delete;

    void start();
    /// The router that keeps it ends: it has its final answer in time for that.
    void beginShutdown(const framework::ShutdownDeadlines&);
    /// It has its final answer, or is broken off, when this returns.
    void answerNow();
    /// Sends it if a server can take it. Called again whenever that may have changed.
    void advance();
    /// Goes on at another server, if it may, when its own has fallen silent: its caller leaves within seconds, and a VM
    /// may stand still for longer.
    void leaveSilent();
    bool isWaiting() const { return !isEnded_ && !attempt_; }
    /// The model or adapter for which it waits; nothing if it waits for something else.
    std::optional<WaitingFor> waitingFor() const;
    /// Ends it as not run: it can't be served before its deadline. `soonest` is when it could have been.
    void refuseAsHopeless(framework::Milliseconds soonest);

    const JobTerms& terms() const { return terms_; }
    framework::Milliseconds waited(framework::SteadyTime now) const
    {
        return std::chrono::duration_cast<framework::Milliseconds>(now - exchange_->receivedAt());
    }
    bool mayHaveRun() const { return mayHaveRun_; }
    void logUnanswered() const;

    // From the attempt under way.
    /// Guards against a request that reaches a server after its caller has left: a busy event loop may be a second
    /// behind with what callers do.
    bool endIfCallerLeft();
    /// Guards against a request that reaches a server after it has left: a connection may take a second to stand.
    void goElsewhereIfServerLeft();
    void didHear(UpstreamRecord&);
    void didBeginStream(const http::ResponseHead&);
    void didReceiveEvents(std::string_view bytes);
    void didEndStream();
    void didAnswer(const http::ResponseHead&, std::string body);
    void didFailAtServer(const http::ResponseHead&, std::string body);
    void didReject(AnswerMeaning, unsigned status);
    /// Without a whole answer. `mayHaveRun` false: it surely hasn't arrived.
    void didBreak(const std::string& cause, bool mayHaveRun);

private:
    bool isStream() const { return terms_.route->kind == catalog::RouteKind::Streaming; }
    bool isForModel() const { return !terms_.facts.model.value().empty(); }
    bool mayRepeat() const;
    catalog::ModelTarget target() const;
    void send(const ChosenUpstream&);
    http::Request forwardedRequest(const UpstreamRecord&) const;
    void sendOnceMore(const std::string& cause, unsigned statusIfNot);
    void passOn(const http::ResponseHead&, std::string body, const char* outcome);
    void refuse(unsigned status, const std::string& cause, std::optional<framework::Milliseconds> retryAfter);
    void refuseAsOverloaded(framework::Milliseconds expected);
    bool isHeldElsewhere() const;
    void abandonAttempt();
    void breakOff(const std::string& cause);
    void armDeadline();
    bool isTooLateToStart() const;
    void didPassDeadline();
    void didLoseCaller();
    void end(const char* outcome, unsigned status, const std::string& cause);

    /// A server's own answer that it failed the request, which is passed on if no other server does better.
    struct ServerFailure {
        http::ResponseHead head;
        std::string body;
    };

    IJobHost& host_;
    std::shared_ptr<http::IExchange> exchange_;
    JobTerms terms_;
    PromptChain prompt_;
    std::unique_ptr<framework::Timer> deadlineTimer_;
    std::shared_ptr<UpstreamAttempt> attempt_;
    ServersTried tried_;
    std::uint32_t sends_ = 0;
    framework::SteadyTime sentAt_ {};
    std::uint32_t unreached_ = 0;
    bool mayHaveRun_ = false;
    std::optional<ServerFailure> failure_;
    bool hasStreamBegun_ = false;
    bool isEnded_ = false;
    bool waitsForLoad_ = false;
    /// The process ends before the request's own deadline.
    bool isCutShort_ = false;
    /// Set then: what no server has by this time is refused.
    std::optional<framework::Deadline> startBy_;
    /// Where an adapter is to be loaded for it.
    framework::Endpoint adapterAt_;
    std::string lastCause_;
    EventSplitter events_;
    std::optional<framework::SteadyTime> firstByteAt_;
    std::string lastServer_;
};

} // namespace lagoon::forwarding
