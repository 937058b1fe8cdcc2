#include "forwarding/internal/requestjob.h"

#include "forwarding/internal/requestlog.h"
#include "forwarding/internal/retryafter.h"
#include "forwarding/internal/upstreamattempt.h"
#include "framework/decisionlog.h"

#include <algorithm>
#include <utility>

namespace lagoon::forwarding {

namespace {

using catalog::ModelTarget;
using catalog::RouteKind;
using framework::LogLine;
using framework::Milliseconds;
using quarantine::Admission;

/// A request is refused after this many failed connections: by then the server is probably not the cause.
constexpr std::uint32_t maxConnectFailures = 3;
/// A request is not retried with less time left than this.
constexpr Milliseconds minTimeToRetry { 60 };
/// If a caller has more unread bytes than this, reading from its server is paused.
constexpr std::size_t maxUnreadBytes = 16 * 1024;
/// A permit that isn't used within this time lapses, so that permits don't add up.
constexpr Milliseconds permitValidity { 300 };
/// Longer than a server takes to crash once it has begun to write an answer.
constexpr Milliseconds survivalTime { 600 };
/// More routers than there are, as long as no agent has reported their number.
constexpr std::uint32_t assumedMaxRouters = 512;
/// If the list of servers is older than this, a server whose connections are cut may be leaving.
constexpr Milliseconds maxListAge { 2000 };
/// Engine priority of the most urgent requests (rank 0); less urgent ones follow, up to lowestEnginePriority. An engine
/// takes a priority of 0 to 9: 0 is served first, and 5 applies to requests without a priority.
constexpr std::uint32_t highestEnginePriority = 3;
/// With customers there are more ranks.
constexpr std::uint32_t highestEnginePriorityOfCustomers = 1;
constexpr std::uint32_t lowestEnginePriority = 9;

/// Whether another server may succeed: not if the time is up, or if the request itself is at fault.
bool isWorthRetrying(unsigned serverStatus) { return serverStatus >= 500 && serverStatus != 504; }

std::string_view rejectionText(AnswerClass answerClass)
{
    if (answerClass == AnswerClass::OtherInstance)
        return "another server has the address";
    return answerClass == AnswerClass::NotLoaded ? "server lacks the model" : "server has no place";
}

} // namespace

RequestJob::RequestJob(IJobHost& host, std::shared_ptr<http::IExchange> exchange, JobSpec spec)
    : host_(host)
    , exchange_(std::move(exchange))
    , spec_(std::move(spec))
    , prompt_(promptChain(spec_.facts))
    , quota_(host_.quotas())
    , events_(spec_.facts.lastEvent)
{
}

RequestJob::~RequestJob() = default;

void RequestJob::start()
{
    exchange_->setDisconnectHandler([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->runGuarded([&] { self->didLoseCaller(); });
    });
    armDeadline();
    const bool isLimited
        = quota_.ask(spec_, [this](const quotas::DrawReply& reply) { runGuarded([&] { didClaimQuota(reply); }); });
    if (!isLimited)
        beginSearch();
}

void RequestJob::didClaimQuota(const quotas::DrawReply& reply)
{
    if (isEnded_)
        return;
    const auto keepAlive = shared_from_this();
    if (reply.outcome == quotas::DrawOutcome::Granted)
        return beginSearch();
    const std::string customer = spec_.customer->name.value();
    if (reply.outcome == quotas::DrawOutcome::OverQuota)
        return refuse(429, "customer " + customer + " is over its quota", reply.retryAfter);
    refuse(503, "no keeper of the quota of customer " + customer, jittered(reply.retryAfter));
}

void RequestJob::beginSearch()
{
    if (isTakenUp())
        return findOrigin();
    advance();
}

void RequestJob::armDeadline()
{
    deadlineTimer_ = host_.thread().runAt(spec_.deadline, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->runGuarded([&] { self->didPassDeadline(); });
    });
}

/// Applies the shutdown as a deadline wherever deadlines count: in forecasts, so that a wait that can't succeed ends at
/// once, and in the time that a server is given. Prevents a request from being pending when the router ends: its caller
/// would see a closed connection, and couldn't know that the request hasn't run and can be sent to another router.
void RequestJob::beginShutdown(const framework::ShutdownDeadlines& deadlines)
{
    if (isEnded_ || spec_.deadline <= deadlines.answerBy)
        return;
    isCutByShutdown_ = true;
    // A stream that comes late would be cut, while another router has time for all of it.
    const bool isLateStream = isStream() && deadlines.noticedBy.hasPassed(exchange_->receivedAt());
    startBy_ = isLateStream ? deadlines.noticedBy : deadlines.startBy;
    spec_.deadline = deadlines.answerBy;
    spec_.firstEventBy = std::min(spec_.firstEventBy, *startBy_);
    if (deadlineTimer_)
        armDeadline();
}

void RequestJob::didRevokeKey(framework::Deadline endBy)
{
    if (isEnded_ || std::exchange(isKeyRevoked_, true))
        return;
    const auto keepAlive = shared_from_this();
    if (isWaiting())
        return refuseAsRevoked();
    spec_.deadline = std::min(spec_.deadline, endBy);
    if (spec_.deadline.hasPassed(host_.now()))
        return didPassDeadline();
    armDeadline();
}

/// Prevents a stream from starting so late that the end of this process cuts it off, when another router could deliver
/// all of it. A stream that has begun continues as long as possible.
bool RequestJob::isTooLateToStart() const { return startBy_ && startBy_->hasPassed(host_.now()) && !hasStreamBegun_; }

void RequestJob::answerNow()
{
    if (isEnded_)
        return;
    isCutByShutdown_ = true;
    didPassDeadline();
}

ModelTarget RequestJob::target() const { return { spec_.facts.model, spec_.facts.adapter }; }

bool RequestJob::mayRetry() const
{
    return spec_.route->kind == RouteKind::Idempotent || (isStream() && spec_.route->isResumable);
}

std::optional<WaitingRequests> RequestJob::waitingFor() const
{
    if (!isWaiting() || !waitsForLoad_)
        return std::nullopt;
    WaitingRequests waiting { target(), 1, spec_.firstEventBy, exchange_->receivedAt(), 0, loadAt_ };
    if (!waitsForAdapter_)
        waiting.target.adapter = framework::AdapterName();
    waiting.priority = static_cast<std::uint8_t>(lowestEnginePriority - std::min(lowestEnginePriority, spec_.priority));
    return waiting;
}

void RequestJob::advance()
{
    if (!isWaiting() || awaitsOrigin_ || quota_.isOpen())
        return;
    const auto keepAlive = shared_from_this();
    if (isKeyRevoked_)
        return refuseAsRevoked();
    if (isTooLateToStart())
        return refuse(503, "no server in time, this router ends", jittered(minRetryAfter));
    // A request whose deadline passed before it could be sent certainly hasn't run, and with no time left no server
    // could answer it.
    if (spec_.deadline.hasPassed(host_.now()))
        return didPassDeadline();
    const Admission admission = host_.quarantine().admit(spec_.identity);
    if (admission == Admission::Quarantined)
        return refuseAsQuarantined();
    if (admission == Admission::Wait) {
        waitsForLoad_ = false;
        return;
    }
    // The decision comes within milliseconds.
    if (permit_ && !permit_->isGranted && !permit_->mayWait)
        return;
    if (permit_ && permit_->isGranted && permit_->validUntil.hasPassed(host_.now()))
        dropPermit();
    const UpstreamSearch search = findUpstream(host_, spec_, prompt_, tried_, required_, permit_);
    loadAt_ = search.loadAt;
    waitsForAdapter_ = search.reason == NoUpstream::AdapterNotLoaded;
    const bool isHeldBack = search.reason == NoUpstream::RateLimited || search.reason == NoUpstream::Resting;
    heldBack_ = isHeldBack ? std::optional(HeldBack { search.availableAt, search.reason }) : std::nullopt;
    waitsForLoad_ = waitsForAdapter_ || search.reason == NoUpstream::NotLoaded || mayBeLoadedElsewhere(search);
    if (search.chosen)
        return sendOrRetract(*search.chosen, admission == Admission::Trial);
    if (search.reason == NoUpstream::PermitNeeded)
        return askForPermit(search);
    if (heldBack_ && !waitsForLoad_)
        return refuseAsHeldBack();
    if (search.reason == NoUpstream::Resting)
        return host_.dispatchAt(search.availableAt);
    if (search.reason == NoUpstream::NoneLeft)
        return refuse(503, lastCause_, retryAfterFailure());
    if (search.reason == NoUpstream::NoneOfVersion)
        return refuseForVersion();
    if (search.reason == NoUpstream::Overloaded)
        return refuseAsOverloaded(search.expected);
    if (search.reason == NoUpstream::NoneReady)
        return refuse(503, "no server is ready", jittered(retryAfterWithoutServer));
}

/// Whether to have the model loaded at another engine, as those that have it take fewer requests than there are, or
/// none.
bool RequestJob::mayBeLoadedElsewhere(const UpstreamSearch& search) const
{
    const bool isTurnLate = search.reason == NoUpstream::PermitNeeded && search.mayWait
        && waited(host_.now()) > spec_.route->targetLatency / 2;
    const bool isHeldBack
        = search.reason == NoUpstream::RateLimited || (search.reason == NoUpstream::Resting && !search.restsService);
    return (isTurnLate || isHeldBack) && isForModel() && !required_;
}

void RequestJob::askForPermit(const UpstreamSearch& search)
{
    // It waits for its turn already.
    if (permit_)
        return;
    const framework::SteadyTime now = host_.now();
    const framework::Deadline neededBy = search.mayWait ? spec_.firstEventBy : framework::Deadline(now);
    const auto routers = host_.upstreams().lastKnownRouters().value_or(assumedMaxRouters);
    RequestPermit permit;
    permit.server = search.permitAt->facts.run();
    permit.mayWait = search.mayWait;
    permit.number = host_.limits().nextPermit();
    permit_ = permit;
    host_.limits().ask(permit.number, *search.permitAt, spec_.priority, neededBy, routers, now,
        [weak = weak_from_this(), number = permit.number](const ratelimits::PermitReply& reply) {
            if (const auto self = weak.lock())
                self->runGuarded([&] { self->didDecidePermit(number, reply); });
        });
}

void RequestJob::didDecidePermit(const ratelimits::PermitNumber& number, const ratelimits::PermitReply& reply)
{
    if (isEnded_ || !permit_ || permit_->number != number)
        return;
    const auto keepAlive = shared_from_this();
    if (reply.isGranted) {
        permit_->isGranted = true;
        permit_->source = reply.source;
        permit_->validUntil = framework::Deadline::after(host_.now(), permitValidity);
        advance();
        // Others may use a permit that this request can't use at once.
        if (isWaiting() && !awaitsOrigin_)
            dropPermit();
        return;
    }
    host_.limits().didDeny(ratelimits::serverRunKey(permit_->server), spec_.priority, reply.retryAfter, host_.now());
    if (permit_->mayWait)
        tried_.withoutTurn.insert(permit_->server);
    permit_.reset();
    advance();
    host_.demandChanged();
}

void RequestJob::dropPermit()
{
    if (permit_)
        host_.limits().withdraw(permit_->number);
    permit_.reset();
}

/// Gives back the permit of an attempt that has not reached its server.
void RequestJob::returnUsedPermit()
{
    if (usedPermit_)
        host_.limits().withdraw(usedPermit_->number);
    usedPermit_.reset();
}

void RequestJob::sendOrRetract(const ChosenUpstream& chosen, bool isTrial)
{
    if (endIfCallerDisconnected())
        return chosen.connection->abandon();
    const bool isRecordedElsewhere = recordedOrigin_ && recordedOrigin_ != originAt(*chosen.upstream);
    if (!isRecordedElsewhere)
        return send(chosen, isTrial);
    chosen.connection->abandon();
    retractOrigin();
}

http::Request RequestJob::forwardedRequest(const UpstreamRecord& upstream) const
{
    ForwardingOptions options;
    options.timeLeft = std::max(Milliseconds(1), spec_.deadline.remaining(host_.now()));
    options.instance = upstream.facts.instance;
    const bool hasCustomers = spec_.configuration->customers.has_value();
    const std::uint32_t highest = hasCustomers ? highestEnginePriorityOfCustomers : highestEnginePriority;
    if (isForModel())
        options.priority = std::min(lowestEnginePriority, highest + spec_.priority);
    if (hasCustomers)
        options.customer = spec_.customer ? spec_.customer->name : catalog::CustomerName();
    if (isStream())
        options.resumeAfter = events_.last();
    return host_.dialect().forwarded(exchange_->request(), options);
}

void RequestJob::send(const ChosenUpstream& chosen, bool isTrial)
{
    UpstreamRecord& upstream = *chosen.upstream;
    const auto origin = originAt(upstream);
    sentVersion_ = origin ? std::optional(origin->version) : std::nullopt;
    recordOrigin(origin);
    ++sends_;
    if (mayHaveRun_)
        quota_.didRepeat();
    sentAt_ = host_.now();
    tried_.sentTo.insert(upstream.facts.run());
    tried_.connections.push_back(chosen.connection);
    survivedAt_.reset();
    usedPermit_.reset();
    if (permit_ && permit_->isGranted && permit_->server == upstream.facts.run())
        usedPermit_ = std::exchange(permit_, std::nullopt);
    else
        dropPermit();
    lastServer_ = upstream.facts.instance.value();
    LogLine line = sentLine(spec_, chosen, sends_, host_.now());
    if (usedPermit_)
        line.text("permit", usedPermit_->source);
    logDecision(line);
    auto guard = std::make_unique<InFlightGuard>(
        chosen.upstream, target(), spec_.priority, chosen.newTokens, chosen.sample, sentAt_);
    attempt_ = std::make_shared<UpstreamAttempt>(weak_from_this(), host_, std::move(guard), chosen.connection);
    if (isTrial)
        attempt_->setTrial(host_.quarantine().beginTrial(spec_.identity, serverRunId(upstream.facts.run())));
    if (isForModel())
        upstream.liveness.didSend(host_.now(), chosen.expected);
    // The engine caches what it has processed of a prompt for the next one with the same beginning.
    upstream.prompts.didSend(prompt_);
    attempt_->send(forwardedRequest(upstream));
    host_.demandChanged();
}

void RequestJob::logUnanswered() const
{
    const char* const sentState = timing_.hasBegun() ? "streaming" : "sent";
    logDecision(LogLine("unanswered")
                    .text("id", spec_.facts.attempt)
                    .text("route", spec_.route->name.value())
                    .text("state", attempt_ ? sentState : "waiting")
                    .flag("waits_for_load", isWaiting() && waitsForLoad_)
                    .text("model", spec_.facts.model.value())
                    .text("server", lastServer_)
                    .number("waited_ms", waited(host_.now()).count()));
}

/// Only the liveness of engines is tracked, as in `send`.
void RequestJob::didSeeActivity(UpstreamRecord& upstream)
{
    if (isForModel())
        upstream.liveness.didSeeActivity(host_.now(), upstream.inFlight);
}

void RequestJob::didSeeAnswer(const UpstreamRecord& upstream)
{
    if (host_.quarantine().hasSuspects())
        host_.quarantine().didAnswer(serverRunId(upstream.facts.run()), sentAt_);
}

void RequestJob::didReceiveHead(UpstreamRecord& upstream, const http::ResponseHead& head, AnswerClass answerClass)
{
    host_.limits().didAnswer(upstream, host_.dialect().limit(head), answerClass, sentAt_, host_.now());
    if (host_.notices().didAnswer(upstream, host_.dialect().notice(head), answerClass, host_.now()))
        host_.demandChanged();
}

void RequestJob::failOverIfSilent()
{
    if (!attempt_ || isKeyRevoked_ || !mayRetry()
        || !host_.upstreams().isSilent(attempt_->guard().upstream(), host_.now()))
        return;
    const bool hasTime = spec_.deadline.remaining(host_.now()) >= minTimeToRetry;
    if (!hasTime || tried_.sentTo.size() >= spec_.route->maxServers || !hasAlternativeServer())
        return;
    if (!host_.spendRetry(spec_.service))
        return;
    const auto keepAlive = shared_from_this();
    logDecision(LogLine("silent_server_left")
                    .text("id", spec_.facts.attempt)
                    .text("server", lastServer_)
                    .flag("stream_begun", hasStreamBegun_));
    abandonAttempt();
    events_ = EventSplitter(events_.last());
    mayHaveRun_ = true;
    lastCause_ = "server fell silent";
    advance();
}

bool RequestJob::hasAlternativeServer() const
{
    const std::vector<UpstreamPointer> serving = isForModel()
        ? host_.upstreams().serving(spec_.service, spec_.facts.model)
        : host_.upstreams().ready(spec_.service);
    return std::any_of(serving.begin(), serving.end(), [&](const UpstreamPointer& other) {
        return other.get() != &attempt_->guard().upstream() && !tried_.has(*other) && mayGoOnAt(*other)
            && host_.limits().mayTake(*other, spec_.priority, host_.now())
            && !host_.upstreams().isResting(*other, host_.now()) && !host_.upstreams().isSuspect(*other, host_.now())
            && !host_.upstreams().isSilent(*other, host_.now())
            && host_.upstreams().hasLoaded(*other, target(), host_.now());
    });
}

bool RequestJob::mayGoOnAt(const UpstreamRecord& server) const
{
    return !required_ || required_->isMetBy(host_.upstreams().softwareVersion(server, host_.now()));
}

void RequestJob::abandonAttempt()
{
    const UpstreamPointer upstream = attempt_->guard().pointer();
    const bool isSilent = upstream->liveness.isSilent(host_.now());
    attempt_->abandon();
    attempt_.reset();
    if (isSilent)
        upstream->liveness.didAbandon(host_.now());
}

void RequestJob::didBeginStream(const http::ResponseHead& head)
{
    // A stream that resumes at another server keeps the head of its first server.
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
    const std::string events = events_.feed(bytes);
    if (!events.empty()) {
        didReceivePart();
        attempt_->guard().didStart(host_.now());
        noteSurvival();
        if (!required_)
            required_ = RequiredVersion { sentVersion_ };
        exchange_->sendPiece(events);
    }
    if (events_.state() == EventSplitter::State::Broken) {
        attempt_->abandon();
        return didEndWithoutAnswer("events out of order", true);
    }
    if (exchange_->unsentBytes() > maxUnreadBytes)
        attempt_->pause();
}

void RequestJob::didReceivePart()
{
    if (!timing_.hasBegun())
        host_.customerTurns().didServe(spec_, host_.now());
    timing_.didReceive(host_.now());
}

/// Whether the request got nothing for want of room or time. Callers that give up early aren't owed anything.
bool RequestJob::isMissed(unsigned status) const
{
    return !timing_.hasBegun() && (status == 503 || status == 504 || spec_.firstEventBy.hasPassed(host_.now()));
}

/// Events that come for some time show that the server goes on; the first alone doesn't, since a request that crashes
/// its server may do so just after it.
void RequestJob::noteSurvival()
{
    const framework::SteadyTime now = host_.now();
    if (!survivedAt_)
        survivedAt_ = framework::Deadline::after(now, survivalTime);
    else if (survivedAt_->hasPassed(now) && !std::exchange(hasSurvived_, true))
        host_.quarantine().didSurvive(spec_.identity, serverRun());
}

void RequestJob::didEndStream(bool isFramed)
{
    if (events_.hasPartialEvent()) {
        noteCut();
        return didEndWithoutAnswer("stream ended within an event", true);
    }
    if (isFramed)
        host_.quarantine().didServe(spec_.identity, serverRun());
    else
        host_.quarantine().didEndWithConnection(cutRequest());
    attempt_.reset();
    if (isForModel())
        host_.didRun(std::chrono::duration_cast<Milliseconds>(host_.now() - sentAt_));
    exchange_->endAnswer();
    end("served", 200, {});
}

void RequestJob::didAnswer(const http::ResponseHead& head, std::string body)
{
    didReceivePart();
    host_.quarantine().didServe(spec_.identity, serverRun());
    relayAnswer(head, std::move(body), "served");
}

void RequestJob::didFailAtServer(const http::ResponseHead& head, std::string body)
{
    if (hasStreamBegun_)
        return didEndWithoutAnswer("server failed the resumed stream", true);
    mayHaveRun_ = true;
    if (!mayRetry() || !isWorthRetrying(head.status))
        return relayAnswer(head, std::move(body), "failed_by_server");
    failure_ = ServerFailure { head, std::move(body) };
    retryOrRefuse("server failed it (" + std::to_string(head.status) + ")", 502);
}

void RequestJob::relayAnswer(const http::ResponseHead& head, std::string body, const char* outcome)
{
    attempt_.reset();
    exchange_->answer(head, std::move(body));
    end(outcome, head.status, {});
}

void RequestJob::didReject(AnswerClass answerClass, unsigned status)
{
    UpstreamRecord& upstream = attempt_->guard().upstream();
    quota_.didNotRun();
    upstream.isReplaced = upstream.isReplaced || answerClass == AnswerClass::OtherInstance;
    upstream.outlierDetector.didFail(host_.now());
    if (answerClass == AnswerClass::NotLoaded)
        host_.upstreams().didReportNotLoaded(upstream, target());
    retryOrRefuse(std::string(rejectionText(answerClass)) + " (" + std::to_string(status) + ")", 503);
}

quarantine::ServerRunId RequestJob::serverRun() const { return serverRunId(attempt_->guard().upstream().facts.run()); }

quarantine::CutRequest RequestJob::cutRequest() const
{
    const UpstreamRecord& upstream = attempt_->guard().upstream();
    const auto listAge = host_.upstreams().listAge(host_.now());
    const bool mayBeLeaving = !host_.upstreams().isInService(upstream) || !listAge || *listAge > maxListAge;
    return { spec_.identity, serverRun(), sentAt_, mayBeLeaving };
}

/// The connection broke under the request. A server that drains cuts its last requests when it ends.
void RequestJob::noteCut()
{
    if (!host_.upstreams().isLeaving(attempt_->guard().upstream()))
        host_.quarantine().didCut(cutRequest());
}

void RequestJob::didLoseConnection(const http::ClientFailure& failure)
{
    const UpstreamRecord& upstream = attempt_->guard().upstream();
    const quarantine::ServerRunId server = serverRunId(upstream.facts.run());
    if (failure.wasRefused)
        host_.quarantine().didEndRun(server, quarantine::EndSign::Refused);
    if (failure.mayHaveArrived)
        noteCut();
    didEndWithoutAnswer(failure.logText(), failure.mayHaveArrived);
}

void RequestJob::didEndWithoutAnswer(const std::string& cause, bool mayHaveRun)
{
    UpstreamRecord& upstream = attempt_->guard().upstream();
    upstream.outlierDetector.didFail(host_.now());
    if (!mayHaveRun) {
        quota_.didNotRun();
        returnUsedPermit();
        tried_.avoided.insert(upstream.facts.run());
        tried_.sentTo.erase(upstream.facts.run());
        if (isForModel())
            host_.upstreams().didFailToConnect(upstream, host_.now());
        attempt_.reset();
        lastCause_ = cause;
        if (++connectFailures_ < maxConnectFailures && !spec_.deadline.hasPassed(host_.now()))
            return advance();
        return refuse(503, cause, jittered(minRetryAfter));
    }
    // A stream that has begun can only resume after its last whole event; the other server sends the buffered partial
    // event again.
    events_ = EventSplitter(events_.last());
    mayHaveRun_ = true;
    retryOrRefuse(cause, 502);
}

void RequestJob::retryOrRefuse(const std::string& cause, unsigned refusalStatus)
{
    const auto keepAlive = shared_from_this();
    attempt_.reset();
    lastCause_ = cause;
    const bool mayRun = !mayHaveRun_ || mayRetry();
    const bool hasTime = spec_.deadline.remaining(host_.now()) >= minTimeToRetry;
    const bool hasServerLeft = tried_.sentTo.size() < spec_.route->maxServers;
    const bool isQuarantined = host_.quarantine().isQuarantined(spec_.identity);
    const bool isRetried = !isKeyRevoked_ && !isQuarantined && mayRun && hasTime && hasServerLeft
        && !isServiceResting(host_, spec_) && host_.spendRetry(spec_.service);
    logDecision(LogLine("attempt_failed")
                    .text("id", spec_.facts.attempt)
                    .text("fingerprint", spec_.identity.request.text())
                    .text("parts", sharedPartIds(spec_.facts))
                    .text("server", lastServer_)
                    .text("cause", cause)
                    .flag("may_have_run", mayHaveRun_)
                    .flag("time_left", hasTime)
                    .flag("server_left", hasServerLeft)
                    .text("required_version", required_ && required_->version ? required_->version->name() : "")
                    .flag("repeated", isRetried));
    if (isRetried)
        return advance();
    if (isKeyRevoked_)
        return refuseAsRevoked();
    if (isQuarantined)
        return refuseAsQuarantined();
    refuse(refusalStatus, cause, retryAfterFailure());
}

void RequestJob::didPassDeadline()
{
    const bool isInFlight = attempt_ != nullptr;
    if (isInFlight) {
        if (!isForModel())
            attempt_->guard().upstream().outlierDetector.didFail(host_.now());
        abandonAttempt();
        mayHaveRun_ = true;
    }
    if (isKeyRevoked_)
        return refuseAsRevoked();
    const std::string cause = isInFlight ? "no whole answer in time" : "no server in time";
    refuse(mayHaveRun_ ? 504 : 503, isCutByShutdown_ ? cause + ", this router ends" : cause,
        jittered(isCutByShutdown_ ? minRetryAfter : retryAfterWithoutServer));
}

void RequestJob::didLoseCaller()
{
    if (attempt_)
        abandonAttempt();
    end("caller_gone", 0, {});
}

bool RequestJob::endIfCallerDisconnected()
{
    if (!exchange_->hasCallerDisconnected())
        return false;
    const auto keepAlive = shared_from_this();
    didLoseCaller();
    exchange_->breakOff();
    return true;
}

void RequestJob::failOverIfServerRefuses()
{
    const UpstreamRecord& upstream = attempt_->guard().upstream();
    const bool isResting = host_.upstreams().isResting(upstream, host_.now());
    if (host_.upstreams().isInService(upstream) && !isResting)
        return;
    const auto keepAlive = shared_from_this();
    logDecision(LogLine("server_left_unsent")
                    .text("id", spec_.facts.attempt)
                    .text("server", lastServer_)
                    .flag("rests", isResting));
    tried_.avoided.insert(upstream.facts.run());
    withdrawAttempt(isResting ? "server rests" : "server left before it was sent to");
    advance();
}

bool RequestJob::holdIfSuspected()
{
    const Admission admission = host_.quarantine().admit(spec_.identity);
    if (admission == Admission::Free || (attempt_->isTrial() && admission != Admission::Quarantined))
        return false;
    const auto keepAlive = shared_from_this();
    withdrawAttempt("suspected before it was sent");
    advance();
    return true;
}

/// Takes back an attempt of which nothing was sent.
void RequestJob::withdrawAttempt(const std::string& cause)
{
    lastCause_ = cause;
    quota_.didNotRun();
    returnUsedPermit();
    tried_.sentTo.erase(attempt_->guard().upstream().facts.run());
    abandonAttempt();
}

void RequestJob::end(const char* outcome, unsigned status, const std::string& cause)
{
    const auto keepAlive = shared_from_this();
    isEnded_ = true;
    dropPermit();
    quota_.didEnd(sends_ == 0 || (!mayHaveRun_ && (status == 503 || status == 429)));
    if (isMissed(status))
        host_.customerTurns().didMiss(spec_, host_.now());
    deadlineTimer_.reset();
    timing_.didEnd(host_.now());
    RequestEnd summary { outcome, status, cause, sends_, lastServer_, waited(host_.now()), {} };
    if (const auto pause = timing_.longestPause()) {
        summary.untilFirstByte = waited(*timing_.firstAt());
        summary.untilPause = waited(pause->beganAt);
        summary.pause = pause->length;
    }
    logDecision(endedLine(spec_, summary));
    countEnded(host_.metrics(), spec_, summary);
    host_.countOutcome(spec_, outcome);
    host_.didEnd(shared_from_this());
}

} // namespace lagoon::forwarding
