#include "forwarding/internal/requestjob.h"

#include "forwarding/internal/requestlog.h"
#include "forwarding/internal/upstreamattempt.h"
#include "framework/decisionlog.h"
#include "framework/randomid.h"

#include <algorithm>
#include <utility>

namespace lagoon::forwarding {

namespace {

using catalog::ModelTarget;
using catalog::RouteKind;
using framework::LogLine;
using framework::Milliseconds;

/// Servers that can't be reached before a request is given up: by then it isn't the server.
constexpr std::uint32_t mostUnreached = 3;
/// Less time than this isn't worth sending a request once more for.
constexpr Milliseconds leastTimeToRepeat { 60 };
/// Bytes that a caller may leave unread before its server is read no further.
constexpr std::size_t unreadBytes = 256 * 1024;
/// When to come back after a server had no place, or a connection failed: mostly things are better by then. Drawn from
/// this to twice of it, so that callers who were refused together don't return together.
constexpr Milliseconds soonAgain { 250 };
/// When to come back if no server is known: that takes the platform a second or two.
constexpr Milliseconds laterAgain { 1000 };
/// Requests of urgency 0 to 3 as the engines count: 0 first, and 5 for whoever says nothing.
constexpr std::uint32_t mostUrgent = 3;
constexpr std::uint32_t leastUrgent = 9;

Milliseconds jittered(Milliseconds least)
{
    return least + Milliseconds(static_cast<std::int64_t>(framework::randomFraction() * least.count()));
}

/// Whether another server may do better: not if the time is up, or if the request itself is at fault.
bool isWorthRepeating(unsigned serverStatus) { return serverStatus >= 500 && serverStatus != 504; }

std::string_view rejectionText(AnswerMeaning meaning)
{
    if (meaning == AnswerMeaning::OtherInstance)
        return "another server has the address";
    return meaning == AnswerMeaning::NotLoaded ? "server lacks the model" : "server has no place";
}

} // namespace

RequestJob::RequestJob(IJobHost& host, std::shared_ptr<http::IExchange> exchange, JobTerms terms)
    : host_(host)
    , exchange_(std::move(exchange))
    , terms_(std::move(terms))
    , prompt_(promptChain(terms_.facts))
    , events_(terms_.facts.lastEvent)
{
}

RequestJob::~RequestJob() = default;

void RequestJob::start()
{
    exchange_->setDisconnectHandler([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->didLoseCaller();
    });
    armDeadline();
    advance();
}

void RequestJob::armDeadline()
{
    deadlineTimer_ = host_.thread().runAt(terms_.deadline, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->didPassDeadline();
    });
}

/// Guards against a request that its router holds when it ends: its caller would see a closed connection, and couldn't
/// know that it hasn't run and may ask another router. As a deadline the end counts wherever deadlines do: in
/// forecasts, so that a wait that can't end well ends at once, and in the time that a server is given.
void RequestJob::endService(const framework::ServiceEnd& end)
{
    if (isEnded_ || terms_.deadline <= end.answerBy)
        return;
    isCutShort_ = true;
    startBy_ = end.startBy;
    terms_.deadline = end.answerBy;
    terms_.firstEventBy = std::min(terms_.firstEventBy, end.startBy);
    if (deadlineTimer_)
        armDeadline();
}

/// Guards against a stream that is begun so late that the end of this process cuts it, where another router would bring
/// it whole. One that has begun goes on as long as it may.
bool RequestJob::isTooLateToStart() const { return startBy_ && startBy_->hasPassed(host_.now()) && !hasStreamBegun_; }

void RequestJob::answerNow()
{
    if (isEnded_)
        return;
    isCutShort_ = true;
    didPassDeadline();
}

ModelTarget RequestJob::target() const { return { terms_.facts.model, terms_.facts.adapter }; }

bool RequestJob::mayRepeat() const
{
    return terms_.route->kind == RouteKind::Idempotent || (isStream() && terms_.route->isResumable);
}

std::optional<WaitingFor> RequestJob::waitingFor() const
{
    if (!isWaiting() || !waitsForLoad_)
        return std::nullopt;
    WaitingFor waiting { target(), 1, terms_.firstEventBy, exchange_->receivedAt(), 0, adapterAt_ };
    if (adapterAt_.value().empty())
        waiting.target.adapter = framework::AdapterName();
    waiting.priority = static_cast<std::uint8_t>(leastUrgent - std::min(leastUrgent, terms_.route->priority));
    return waiting;
}

void RequestJob::advance()
{
    if (!isWaiting())
        return;
    const auto keepsItself = shared_from_this();
    if (isTooLateToStart())
        return refuse(503, "no server in time, this router ends", jittered(soonAgain));
    // Whose time is up before it could be sent surely hasn't run, and with no time left no server could answer it.
    if (terms_.deadline.hasPassed(host_.now()))
        return didPassDeadline();
    const UpstreamSearch search = findUpstream(host_, terms_, prompt_, tried_);
    adapterAt_ = search.adapterAt;
    waitsForLoad_ = search.reason == NoUpstream::NotLoaded || search.reason == NoUpstream::AdapterNotLoaded;
    if (search.chosen) {
        if (!endIfCallerLeft())
            return send(*search.chosen);
        return search.chosen->connection->abandon();
    }
    if (search.reason == NoUpstream::NoneLeft)
        return refuse(503, lastCause_, jittered(soonAgain));
    if (search.reason == NoUpstream::Overloaded)
        return refuseAsOverloaded(search.expected);
    if (search.reason == NoUpstream::NoneReady)
        return refuse(503, "no server is ready", jittered(laterAgain));
}

http::Request RequestJob::forwardedRequest(const UpstreamRecord& upstream) const
{
    ForwardingTerms terms;
    terms.timeLeft = std::max(Milliseconds(1), terms_.deadline.remaining(host_.now()));
    terms.instance = upstream.facts.instance;
    if (isForModel())
        terms.priority = std::min(leastUrgent, mostUrgent + terms_.route->priority);
    if (isStream())
        terms.resumeAfter = events_.last();
    return host_.dialect().forwarded(exchange_->request(), terms);
}

void RequestJob::send(const ChosenUpstream& chosen)
{
    UpstreamRecord& upstream = *chosen.upstream;
    ++sends_;
    sentAt_ = host_.now();
    tried_.sentTo.insert(upstream.facts.run());
    lastServer_ = upstream.facts.instance.value();
    logDecision(sentLine(terms_, chosen, sends_, host_.now()));
    auto use = std::make_unique<UpstreamUse>(chosen.upstream, target(), terms_.route->priority, chosen.newTokens);
    attempt_ = std::make_shared<UpstreamAttempt>(weak_from_this(), host_.dialect(), std::move(use), chosen.connection);
    if (isForModel())
        upstream.liveness.didSend(host_.now(), chosen.expected);
    // What the engine has read of a prompt is kept for the next one that begins alike.
    upstream.prompts.didSend(prompt_);
    attempt_->send(forwardedRequest(upstream));
    host_.demandChanged();
}

void RequestJob::logUnanswered() const
{
    const char* const sentState = firstByteAt_ ? "streaming" : "sent";
    logDecision(LogLine("unanswered")
                    .text("id", terms_.facts.attempt)
                    .text("route", terms_.route->name.value())
                    .text("state", attempt_ ? sentState : "waiting")
                    .flag("waits_for_load", isWaiting() && waitsForLoad_)
                    .text("model", terms_.facts.model.value())
                    .text("server", lastServer_)
                    .number("waited_ms", waited(host_.now()).count()));
}

/// Of engines only, as for what is sent.
void RequestJob::didHear(UpstreamRecord& upstream)
{
    if (isForModel())
        upstream.liveness.didHear(host_.now(), upstream.inFlight);
}

void RequestJob::leaveSilent()
{
    if (!attempt_ || !mayRepeat() || !host_.upstreams().isSilent(attempt_->use().upstream(), host_.now()))
        return;
    const bool hasTime = terms_.deadline.remaining(host_.now()) >= leastTimeToRepeat;
    if (!hasTime || tried_.sentTo.size() >= terms_.route->mostServers || !isHeldElsewhere())
        return;
    if (!host_.spendRepeat(terms_.service))
        return;
    const auto keepsItself = shared_from_this();
    logDecision(LogLine("silent_server_left")
                    .text("id", terms_.facts.attempt)
                    .text("server", lastServer_)
                    .flag("stream_begun", hasStreamBegun_));
    abandonAttempt();
    events_ = EventSplitter(events_.last());
    mayHaveRun_ = true;
    lastCause_ = "server fell silent";
    advance();
}

bool RequestJob::isHeldElsewhere() const
{
    const std::vector<UpstreamPointer> serving = isForModel()
        ? host_.upstreams().serving(terms_.service, terms_.facts.model)
        : host_.upstreams().ready(terms_.service);
    return std::any_of(serving.begin(), serving.end(), [&](const UpstreamPointer& other) {
        return other.get() != &attempt_->use().upstream() && !tried_.has(*other)
            && !host_.upstreams().isSuspect(*other, host_.now()) && !host_.upstreams().isSilent(*other, host_.now())
            && host_.upstreams().holds(*other, target(), host_.now());
    });
}

void RequestJob::abandonAttempt()
{
    const UpstreamPointer upstream = attempt_->use().pointer();
    const bool isSilent = upstream->liveness.isSilent(host_.now());
    attempt_->abandon();
    attempt_.reset();
    if (isSilent)
        upstream->liveness.didGiveUp(host_.now());
}

void RequestJob::didBeginStream(const http::ResponseHead& head)
{
    // A stream that goes on at another server keeps the head of its first.
    if (std::exchange(hasStreamBegun_, true))
        return;
    exchange_->beginAnswer(head);
    exchange_->setDrainedHandler([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->attempt_)
            self->attempt_->resume();
    });
}

void RequestJob::didReceiveEvents(std::string_view bytes)
{
    const std::string events = events_.take(bytes);
    if (!events.empty()) {
        if (!firstByteAt_)
            firstByteAt_ = host_.now();
        attempt_->use().didStart();
        exchange_->sendPiece(events);
    }
    if (events_.state() == EventSplitter::State::Broken) {
        attempt_->abandon();
        return didBreak("events out of order", true);
    }
    if (exchange_->unsentBytes() > unreadBytes)
        attempt_->pause();
}

void RequestJob::didEndStream()
{
    if (events_.holdsPart())
        return didBreak("stream ended within an event", true);
    attempt_.reset();
    if (isForModel())
        host_.didRun(std::chrono::duration_cast<Milliseconds>(host_.now() - sentAt_));
    exchange_->endAnswer();
    end("served", 200, {});
}

void RequestJob::didAnswer(const http::ResponseHead& head, std::string body)
{
    firstByteAt_ = host_.now();
    passOn(head, std::move(body), "served");
}

void RequestJob::didFailAtServer(const http::ResponseHead& head, std::string body)
{
    if (hasStreamBegun_)
        return didBreak("server failed the resumed stream", true);
    if (!mayRepeat() || !isWorthRepeating(head.status))
        return passOn(head, std::move(body), "failed_by_server");
    mayHaveRun_ = true;
    failure_ = ServerFailure { head, std::move(body) };
    sendOnceMore("server failed it (" + std::to_string(head.status) + ")", 502);
}

void RequestJob::passOn(const http::ResponseHead& head, std::string body, const char* outcome)
{
    attempt_.reset();
    exchange_->answer(head, std::move(body));
    end(outcome, head.status, {});
}

void RequestJob::didReject(AnswerMeaning meaning, unsigned status)
{
    UpstreamRecord& upstream = attempt_->use().upstream();
    upstream.isGone = upstream.isGone || meaning == AnswerMeaning::OtherInstance;
    upstream.suspicion.didFail(host_.now());
    if (meaning == AnswerMeaning::NotLoaded)
        host_.upstreams().didLack(upstream, target());
    sendOnceMore(std::string(rejectionText(meaning)) + " (" + std::to_string(status) + ")", 503);
}

void RequestJob::didBreak(const std::string& cause, bool mayHaveRun)
{
    UpstreamRecord& upstream = attempt_->use().upstream();
    upstream.suspicion.didFail(host_.now());
    if (!mayHaveRun) {
        tried_.avoided.insert(upstream.facts.run());
        tried_.sentTo.erase(upstream.facts.run());
        if (isForModel())
            host_.upstreams().didLose(upstream, host_.now());
        attempt_.reset();
        lastCause_ = cause;
        if (++unreached_ < mostUnreached && !terms_.deadline.hasPassed(host_.now()))
            return advance();
        return refuse(503, cause, jittered(soonAgain));
    }
    // A stream that began may only go on where it ended; the part of an event that was held is made anew.
    events_ = EventSplitter(events_.last());
    mayHaveRun_ = true;
    sendOnceMore(cause, 502);
}

void RequestJob::sendOnceMore(const std::string& cause, unsigned statusIfNot)
{
    const auto keepsItself = shared_from_this();
    attempt_.reset();
    lastCause_ = cause;
    const bool mayRun = !mayHaveRun_ || mayRepeat();
    const bool hasTime = terms_.deadline.remaining(host_.now()) >= leastTimeToRepeat;
    const bool hasServerLeft = tried_.sentTo.size() < terms_.route->mostServers;
    const bool isRepeated = mayRun && hasTime && hasServerLeft && host_.spendRepeat(terms_.service);
    logDecision(LogLine("attempt_failed")
                    .text("id", terms_.facts.attempt)
                    .text("server", lastServer_)
                    .text("cause", cause)
                    .flag("may_have_run", mayHaveRun_)
                    .flag("time_left", hasTime)
                    .flag("server_left", hasServerLeft)
                    .flag("repeated", isRepeated));
    if (isRepeated)
        return advance();
    refuse(statusIfNot, cause, jittered(soonAgain));
}

/// Ends it with this system's own answer. Guards against a promise that isn't true: a status that says "not run" is
/// given only if no server may have run it.
void RequestJob::refuse(unsigned status, const std::string& cause, std::optional<Milliseconds> retryAfter)
{
    if (firstByteAt_)
        return breakOff(cause);
    // A server's own failure says more than that no other server did better.
    if (failure_)
        return passOn(failure_->head, std::move(failure_->body), "failed_by_server");
    const unsigned honest = mayHaveRun_ && status == 503 ? 502 : status;
    exchange_->answer(host_.dialect().refusal(honest, honest == 503 ? retryAfter : std::nullopt), {});
    end("refused", honest, cause);
}

void RequestJob::refuseAsHopeless(Milliseconds soonest)
{
    // At another router it can wait for the same load, so it is to come back there at once.
    refuse(503, "model not there before the deadline, soonest in " + std::to_string(soonest.count()) + " ms",
        jittered(isCutShort_ ? soonAgain : std::max(soonAgain, soonest)));
}

void RequestJob::refuseAsOverloaded(Milliseconds expected)
{
    const Milliseconds tooLong = expected - terms_.route->targetLatency;
    refuse(503, "engines overloaded, first event expected in " + std::to_string(expected.count()) + " ms",
        jittered(std::max(soonAgain, tooLong)));
}

void RequestJob::breakOff(const std::string& cause)
{
    exchange_->breakOff();
    end("broken_off", 0, cause);
}

void RequestJob::didPassDeadline()
{
    const bool isUnderWay = attempt_ != nullptr;
    if (isUnderWay) {
        if (!isForModel())
            attempt_->use().upstream().suspicion.didFail(host_.now());
        abandonAttempt();
        mayHaveRun_ = true;
    }
    const std::string cause = isUnderWay ? "no whole answer in time" : "no server in time";
    refuse(mayHaveRun_ ? 504 : 503, isCutShort_ ? cause + ", this router ends" : cause,
        jittered(isCutShort_ ? soonAgain : laterAgain));
}

void RequestJob::didLoseCaller()
{
    if (attempt_)
        abandonAttempt();
    end("caller_gone", 0, {});
}

bool RequestJob::endIfCallerLeft()
{
    if (!exchange_->hasCallerDisconnected())
        return false;
    const auto keepsItself = shared_from_this();
    didLoseCaller();
    exchange_->breakOff();
    return true;
}

void RequestJob::goElsewhereIfServerLeft()
{
    const UpstreamRecord& upstream = attempt_->use().upstream();
    if (host_.upstreams().isInService(upstream))
        return;
    const auto keepsItself = shared_from_this();
    logDecision(LogLine("server_left_unsent").text("id", terms_.facts.attempt).text("server", lastServer_));
    lastCause_ = "server left before it was sent to";
    tried_.avoided.insert(upstream.facts.run());
    tried_.sentTo.erase(upstream.facts.run());
    abandonAttempt();
    advance();
}

void RequestJob::end(const char* outcome, unsigned status, const std::string& cause)
{
    const auto keepsItself = shared_from_this();
    isEnded_ = true;
    deadlineTimer_.reset();
    RequestEnd summary { outcome, status, cause, sends_, lastServer_, waited(host_.now()), {} };
    if (firstByteAt_)
        summary.untilFirstByte = waited(*firstByteAt_);
    logDecision(endedLine(terms_, summary));
    const std::string service = terms_.service.value();
    host_.metrics().count("lagoon_forwarded_total", { { "service", service }, { "outcome", outcome } });
    if (firstByteAt_)
        host_.metrics().observeSeconds("lagoon_forwarded_first_byte_seconds",
            static_cast<double>(waited(*firstByteAt_).count()) / 1000.0, { { "service", service } });
    host_.didEnd(shared_from_this());
}

} // namespace lagoon::forwarding
