#include "agent/internal/requestgate.h"

#include "policy/rendezvous.h"
#include "quarantine/evidencewire.h"
#include "wire/types/message.h"

#include <algorithm>

namespace lagoon::agent {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Incarnation;
using framework::Milliseconds;
using framework::SequenceNumber;
using wire::ILink;
namespace fb = wire::fb;

constexpr std::size_t maxChunkBytes = std::size_t(256) * 1024;
constexpr std::uint8_t maxPriority = 9;
constexpr Milliseconds retryWhenQueueFull { 500 };
/// Retry delay of requests that are refused because the agent shuts down; another upstream may serve them immediately.
constexpr Milliseconds retryWhenDraining { 1000 };
constexpr unsigned short notFound = 404;
/// Shorter than an upstream's process takes to end and start again.
constexpr Milliseconds runCheckInterval { 200 };
/// How long before the deadline an answer or refusal has to be sent to reach the router in time. Shortly before the
/// deadline the router refuses the request itself, and can then only report it as "unknown".
constexpr Milliseconds deliveryMargin { 50 };

DispatchKey keyOf(const fb::DispatchIdT& id)
{
    return { Incarnation(id.router_incarnation), id.session, SequenceNumber(id.sequence) };
}

std::unique_ptr<fb::DispatchIdT> idOf(const DispatchKey& key)
{
    auto id = std::make_unique<fb::DispatchIdT>();
    id->router_incarnation = key.router.value();
    id->session = key.session;
    id->sequence = key.sequence.value();
    return id;
}

Target targetOf(const fb::TargetT& target)
{
    return { { framework::ModelName(target.model), framework::AdapterName(target.adapter) },
        framework::ServiceName(target.service) };
}

HttpHeaders headersOf(const std::vector<std::unique_ptr<fb::HeaderT>>& headers)
{
    HttpHeaders read;
    for (const auto& header : headers) {
        if (header)
            read.emplace_back(header->name, header->value);
    }
    return read;
}

UpstreamRequest requestOf(fb::DispatchT& dispatch, framework::SteadyTime now)
{
    UpstreamRequest request;
    request.name = framework::RequestName(dispatch.request_name);
    request.method = std::move(dispatch.method);
    request.path = std::move(dispatch.path);
    request.headers = headersOf(dispatch.headers);
    request.body.assign(dispatch.body.begin(), dispatch.body.end());
    request.priority = std::min(dispatch.priority, maxPriority);
    request.deadline = Deadline::after(now, Milliseconds(dispatch.remaining_ms));
    return request;
}

void sendChunk(ILink& link, const DispatchKey& key, std::uint64_t offset, const char* bytes, std::size_t size)
{
    fb::AnswerChunkT chunk;
    chunk.id = idOf(key);
    chunk.offset = offset;
    chunk.bytes.assign(bytes, bytes + size);
    link.send(wire::message(std::move(chunk)));
}

Error refusal(ErrorCode code, std::string detail, Execution execution)
{
    return Error { code, "admit", "", std::move(detail), execution };
}

Error drainingRefusal(std::string detail, Execution execution)
{
    Error error = refusal(ErrorCode::Draining, std::move(detail), execution);
    error.retryAfter = retryWhenDraining;
    return error;
}

/// A fraction in [0, 1) derived from the dispatch, so that requests refused together aren't retried together.
double jitterFraction(const DispatchKey& key)
{
    return static_cast<double>(policy::mixBits(key.router.value() + key.sequence.value()) >> 11U) * 0x1p-53;
}

} // namespace

RequestGate::RequestGate(GatePorts ports, Incarnation own, const AgentLimits& limits)
    : ports_(std::move(ports))
    , limits_(limits)
    , ledger_(RequestLedger::restart(own, { limits.ledgerEntries, limits.ledgerBytes, limits.forgetRouterAfter }))
    , admission_(limits.running, limits.waiting)
    , upstreamLimit_(*ports_.metrics)
    , notices_(*ports_.metrics)
{
}

void RequestGate::dispatch(const std::shared_ptr<ILink>& link, fb::DispatchT dispatch)
{
    const framework::SteadyTime now = ports_.clock.now();
    const DispatchKey key = keyOf(*dispatch.id);
    const auto verdict = ledger_.dispatch(key, Incarnation(dispatch.agent_incarnation), SequenceNumber(dispatch.floor));
    stopAbandoned();
    if (verdict.has_error()) {
        refuse(link, key, verdict.error());
        return;
    }
    if (verdict.value() == DispatchVerdict::AlreadyKnown) {
        ports_.metrics->count("lagoon_dispatches_repeated_total");
        return;
    }
    ports_.metrics->count("lagoon_dispatches_total");
    Call call;
    call.target = targetOf(*dispatch.target);
    call.fingerprint = quarantine::fingerprintFrom(dispatch.fingerprint);
    call.request = requestOf(dispatch, now);
    call.link = link;
    call.receivedAt = now;
    admit(key, std::move(call));
}

std::optional<Error> RequestGate::admissionRefusal(const Call& call) const
{
    if (shutdownDeadlines_)
        return drainingRefusal("the agent shuts down", Execution::NotRun);
    if (call.request.deadline.hasPassed(ports_.clock.now()))
        return refusal(ErrorCode::DeadlinePassed, "on receipt", Execution::NotRun);
    return notices_.refusal(currentRun(), ports_.clock.now());
}

void RequestGate::admit(const DispatchKey& key, Call call)
{
    const Target target = call.target;
    const auto link = call.link;
    std::optional<Error> refused = admissionRefusal(call);
    if (!refused) {
        const auto use = ports_.targets.beginUse(target, ports_.clock.now());
        if (use.has_error())
            refused = use.error();
    }
    if (!refused) {
        const WaitingDispatch waiting { key, call.request.priority, call.request.deadline };
        refused = queueRefusal(waiting, target);
        if (!refused && !admission_.enqueue(waiting)) {
            refused = refusal(ErrorCode::TooManyWaiting, "the agent's queue is full", Execution::NotRun);
            refused->retryAfter = retryWhenQueueFull;
        }
        if (refused)
            ports_.targets.endUse(target, ports_.clock.now());
    }
    if (refused) {
        ledger_.complete(key, refused);
        refuse(link, key, *refused);
        return;
    }
    armQueueTimer(key, call);
    calls_.emplace(key, std::move(call));
    startQueued();
}

/// Prevents a queue that is longer than the deadlines: past saturation each request would be started just before its
/// caller gives up, so that the upstream is busy but hardly any request is served in time. Once service times are
/// known, a request that can't be served in time from its position in the queue is refused immediately. If a slot is
/// free, the request is always tried.
std::optional<Error> RequestGate::queueRefusal(const WaitingDispatch& waiting, const Target& target)
{
    if (auto refused = limitRefusal(waiting))
        return refused;
    const auto own = serviceTimes_.estimateFor(target);
    if (!own || admission_.hasFreeSlot())
        return std::nullopt;
    const policy::LoadQueue queue { admission_.countAhead(waiting), admission_.running(), admission_.maxRunning(), 0,
        serviceTimes_.estimateForAll() };
    const policy::LoadForecast forecast = policy::forecastWaiting(*own, queue);
    if (!policy::isLikelyTooLate(
            forecast, Deadline(answerDeadline(waiting.deadline).at() - deliveryMargin), ports_.clock.now()))
        return std::nullopt;
    Error hopeless = refusal(ErrorCode::DeadlineHopeless, "the queue is longer than the deadline", Execution::NotRun);
    hopeless.retryAfter = policy::retryAfterFor(forecast, jitterFraction(waiting.key));
    return hopeless;
}

/// Refuses a request whose turn comes too late because the upstream limits its requests.
std::optional<Error> RequestGate::limitRefusal(const WaitingDispatch& waiting)
{
    const framework::SteadyTime now = ports_.clock.now();
    const auto turn = upstreamLimit_.turn(admission_.countAhead(waiting), now);
    if (!turn || *turn <= answerDeadline(waiting.deadline).at() - deliveryMargin)
        return std::nullopt;
    Error limited = refusal(ErrorCode::DeadlineHopeless, "the upstream limits its requests", Execution::NotRun);
    limited.retryAfter = std::chrono::duration_cast<Milliseconds>(*turn - now);
    return limited;
}

/// Time by which the answer must be complete.
Deadline RequestGate::answerDeadline(Deadline ofRequest) const
{
    return shutdownDeadlines_ ? std::min(ofRequest, shutdownDeadlines_->answerBy) : ofRequest;
}

/// Refuses a waiting request at the latest time at which it would have to be started: later requests of higher priority
/// may have overtaken it. The refusal has to reach the router before the router's own timer expires, which could only
/// report "unknown".
void RequestGate::armQueueTimer(const DispatchKey& key, Call& call)
{
    const auto own = serviceTimes_.estimateFor(call.target);
    const Deadline startBy(call.request.deadline.at() - deliveryMargin - (own ? own->high : Milliseconds(0)));
    if (shutdownDeadlines_ && shutdownDeadlines_->startBy < startBy) {
        call.deadlineTimer = ports_.control.runAt(shutdownDeadlines_->startBy,
            [this, key] { stop(key, drainingRefusal("the agent ends before its turn", Execution::NotRun)); });
        return;
    }
    const ErrorCode code = own ? ErrorCode::DeadlineHopeless : ErrorCode::DeadlinePassed;
    call.deadlineTimer = ports_.control.runAt(startBy, [this, key, code] {
        Error late = refusal(code, "its turn didn't come in time", Execution::NotRun);
        late.retryAfter = policy::retryAfterFor({}, jitterFraction(key));
        stop(key, std::move(late));
    });
}

/// Refuses waiting requests that can't be served in time, after the first measured service time of the target. A burst
/// on a newly loaded replica fills the queue before it is known how long a request takes.
void RequestGate::refuseHopeless(const Target& target)
{
    std::vector<std::pair<DispatchKey, Error>> hopeless;
    for (auto& [key, call] : calls_) {
        if (call.upstream || !(call.target == target))
            continue;
        const auto refused = queueRefusal({ key, call.request.priority, call.request.deadline }, target);
        if (refused)
            hopeless.emplace_back(key, *refused);
        else
            armQueueTimer(key, call);
    }
    for (auto& [key, error] : hopeless) {
        // Stopping an earlier request may have started this one.
        if (admission_.isWaiting(key))
            stop(key, std::move(error));
    }
}

void RequestGate::armRunTimer(const DispatchKey& key, Call& call)
{
    const Deadline last = answerDeadline(call.request.deadline);
    const Error error = last < call.request.deadline
        ? drainingRefusal("the agent ends before its answer", Execution::Unknown)
        : refusal(ErrorCode::DeadlinePassed, "", Execution::Unknown);
    call.deadlineTimer = ports_.control.runAt(last, [this, key, error] { stop(key, error); });
}

/// Also records calls that were stopped after more than the typical time; otherwise an upstream that has become too
/// slow for every deadline would never be noticed.
void RequestGate::recordServiceTime(const Call& call, bool isComplete)
{
    const auto took = std::chrono::duration_cast<Milliseconds>(ports_.clock.now() - call.startedAt);
    const auto known = serviceTimes_.estimateFor(call.target);
    if (!isComplete && (!known || took <= known->typical))
        return;
    serviceTimes_.record(call.target, took);
    if (!known)
        refuseHopeless(call.target);
}

void RequestGate::startQueued()
{
    limitTimer_.reset();
    while (admission_.hasStartable()) {
        const framework::SteadyTime now = ports_.clock.now();
        if (!upstreamLimit_.take(now)) {
            limitTimer_ = ports_.control.runAt(Deadline(*upstreamLimit_.turn(0, now)), [this] { startQueued(); });
            break;
        }
        run(admission_.takeNext().key);
    }
    publishMetrics();
}

void RequestGate::run(const DispatchKey& key)
{
    Call& call = calls_.at(key);
    call.startedAt = ports_.clock.now();
    call.upstreamRun = currentRun();
    armRunTimer(key, call);
    const auto waited = call.startedAt - call.receivedAt;
    ports_.metrics->observeSeconds("lagoon_agent_wait_seconds", std::chrono::duration<double>(waited).count());
    // Events arrive on other threads and in order, so they are posted to the control thread. Events of a call that has
    // ended are ignored, because the call is no longer found.
    UpstreamEvents events;
    events.onHead = [this, key](unsigned short status, HttpHeaders headers) {
        ports_.control.post([this, key, status, headers = std::move(headers)] { handleHead(key, status, headers); });
    };
    events.onBytes = [this, key](std::string bytes) {
        ports_.control.post([this, key, bytes = std::move(bytes)] { handleBytes(key, bytes); });
    };
    events.onEnd = [this, key] { ports_.control.post([this, key] { handleEnd(key); }); };
    events.onFailed
        = [this, key](const Error& error) { ports_.control.post([this, key, error] { handleFailure(key, error); }); };
    call.upstream = ports_.upstream->run(std::move(call.request), std::move(events));
}

void RequestGate::cancel(const fb::CancelT& cancel)
{
    const DispatchKey key = keyOf(*cancel.id);
    if (find(key))
        stop(key, refusal(ErrorCode::CallerGone, "cancelled by the router", Execution::Unknown));
    else
        ledger_.fence(key);
}

/// Stops a call early. A call that hasn't been sent to the upstream ends immediately as not run. Otherwise the
/// connection to the upstream is closed, and the resulting failure ends the call.
void RequestGate::stop(const DispatchKey& key, Error reason)
{
    Call* call = find(key);
    if (!call || call->stopReason)
        return;
    if (call->upstream) {
        call->stopReason = std::move(reason);
        call->upstream->cancel();
        return;
    }
    admission_.remove(key);
    reason.execution = Execution::NotRun;
    end(key, std::move(reason));
}

void RequestGate::handleHead(const DispatchKey& key, unsigned short status, HttpHeaders headers)
{
    Call* call = find(key);
    if (!call)
        return;
    upstreamLimit_.didAnswer(headers, call->startedAt, ports_.clock.now());
    noteNotice(*call, status, headers);
    if (call->stopReason)
        return;
    // An engine answers 404 before it runs anything: it has lost the replica since its state was last read.
    if (status == notFound && !call->target.isService())
        return stop(key, refusal(ErrorCode::NotLoaded, "the engine doesn't have it", Execution::NotRun));
    ledger_.storeHead(key, status, std::move(headers));
    sendHead(*call->link, key, *ledger_.answer(key));
}

void RequestGate::noteNotice(const Call& call, unsigned short status, const HttpHeaders& headers)
{
    if (!notices_.didAnswer(status, headers, call.upstreamRun, ports_.clock.now()))
        return;
    refuseWaiting();
    checkRunOfUnavailable();
}

/// Other upstreams may serve the requests that wait here in time.
void RequestGate::refuseWaiting()
{
    const auto refused = notices_.refusal(currentRun(), ports_.clock.now());
    if (!refused)
        return;
    std::vector<DispatchKey> waiting;
    for (const auto& [key, call] : calls_) {
        if (!call.upstream)
            waiting.push_back(key);
    }
    for (const DispatchKey& key : waiting)
        stop(key, *refused);
}

/// An upstream that leaves or rests gets no requests, so no request shows its end.
void RequestGate::checkRunOfUnavailable()
{
    runCheckTimer_.reset();
    if (!ports_.crashes || !notices_.refusal(currentRun(), ports_.clock.now()))
        return;
    ports_.crashes->checkRun();
    runCheckTimer_ = ports_.control.runAt(
        Deadline::after(ports_.clock.now(), runCheckInterval), [this] { checkRunOfUnavailable(); });
}

UpstreamRunNumber RequestGate::currentRun() const
{
    return ports_.crashes ? ports_.crashes->currentRun() : UpstreamRunNumber(1);
}

void RequestGate::handleBytes(const DispatchKey& key, std::string bytes)
{
    Call* call = find(key);
    if (!call || call->stopReason)
        return;
    const std::uint64_t offset = ledger_.answer(key)->bytes.size();
    if (offset + bytes.size() > limits_.answerBytes)
        return stop(key, refusal(ErrorCode::TooLarge, "the answer is too long", Execution::Unknown));
    ledger_.storeBytes(key, bytes);
    sendChunk(*call->link, key, offset, bytes.data(), bytes.size());
}

void RequestGate::handleEnd(const DispatchKey& key)
{
    const Call* call = find(key);
    if (!call)
        return;
    if (ports_.crashes)
        ports_.crashes->didAnswer(call->startedAt);
    end(key, call->stopReason);
}

void RequestGate::handleFailure(const DispatchKey& key, const Error& error)
{
    Call* const call = find(key);
    if (!call)
        return;
    noteCut(*call, error);
    Error reported = call->stopReason.value_or(error);
    // Nothing can have been run if the connection was never established, whatever stopped the call.
    if (error.execution == Execution::NotRun)
        reported.execution = Execution::NotRun;
    end(key, std::move(reported));
}

/// A call that was stopped breaks its connection itself.
void RequestGate::noteCut(Call& call, const Error& error)
{
    const bool wasCut = !call.stopReason && error.execution == Execution::Unknown;
    if (!wasCut || !call.fingerprint || !ports_.crashes)
        return;
    call.cutAt = ports_.crashes->idOf(call.upstreamRun);
    ports_.crashes->didCut(*call.fingerprint, call.upstreamRun, call.startedAt);
}

void RequestGate::end(const DispatchKey& key, std::optional<Error> refused)
{
    auto node = calls_.extract(key);
    Call& call = node.mapped();
    if (call.upstream) {
        admission_.recordEnd();
        recordServiceTime(call, !refused);
    }
    ports_.targets.endUse(call.target, ports_.clock.now());
    if (refused) {
        refuse(call.link, key, *refused, call.cutAt);
    } else {
        ports_.metrics->count("lagoon_answers_total");
        sendEnd(*call.link, key, *ledger_.answer(key));
    }
    ledger_.complete(key, std::move(refused));
    startQueued();
}

void RequestGate::resolve(const std::shared_ptr<ILink>& link, const fb::ResolveT& resolve)
{
    const DispatchKey key = keyOf(*resolve.id);
    const auto verdict = ledger_.resolve(key, Incarnation(resolve.agent_incarnation), SequenceNumber(resolve.floor));
    stopAbandoned();
    if (verdict.has_error()) {
        refuse(link, key, verdict.error());
        return;
    }
    switch (verdict.value()) {
    case ResolveVerdict::Fenced:
        refuse(link, key, refusal(ErrorCode::Fenced, "not seen before", Execution::NotRun));
        return;
    case ResolveVerdict::Running:
        ports_.metrics->count("lagoon_dispatches_attached_total");
        if (Call* call = find(key))
            call->link = link;
        break;
    case ResolveVerdict::Done:
        ports_.metrics->count("lagoon_answers_sent_again_total");
        break;
    }
    sendStored(link, key, resolve.received_bytes);
}

void RequestGate::sendStored(const std::shared_ptr<ILink>& link, const DispatchKey& key, std::uint64_t from)
{
    const StoredAnswer& answer = *ledger_.answer(key);
    if (answer.hasHead)
        sendHead(*link, key, answer);
    for (std::size_t offset = from; offset < answer.bytes.size(); offset += maxChunkBytes) {
        const std::size_t size = std::min(maxChunkBytes, answer.bytes.size() - offset);
        sendChunk(*link, key, offset, answer.bytes.data() + offset, size);
    }
    if (ledger_.isRunning(key))
        return;
    if (answer.refusal)
        refuse(link, key, *answer.refusal);
    else
        sendEnd(*link, key, answer);
}

void RequestGate::sendHead(ILink& link, const DispatchKey& key, const StoredAnswer& answer)
{
    fb::AnswerHeadT head;
    head.id = idOf(key);
    head.status = answer.status;
    for (const auto& [name, value] : answer.headers) {
        auto header = std::make_unique<fb::HeaderT>();
        header->name = name;
        header->value = value;
        head.headers.push_back(std::move(header));
    }
    link.send(wire::message(std::move(head)));
}

void RequestGate::sendEnd(ILink& link, const DispatchKey& key, const StoredAnswer& answer)
{
    fb::AnswerEndT end;
    end.id = idOf(key);
    end.length = answer.bytes.size();
    end.checksum = answer.checksum;
    end.running = running();
    end.waiting = waiting();
    link.send(wire::message(std::move(end)));
}

void RequestGate::refuse(const std::shared_ptr<ILink>& link, const DispatchKey& key, const Error& error,
    const quarantine::ServerRunId& cutAt)
{
    ports_.metrics->count("lagoon_refusals_total",
        { { "code", std::string(framework::errorCodeText(error.code)) },
            { "execution", std::string(framework::executionText(error.execution)) } });
    fb::RefusedT refused;
    refused.id = idOf(key);
    refused.code = static_cast<std::uint8_t>(error.code);
    refused.execution = static_cast<std::uint8_t>(error.execution);
    refused.step = error.step;
    refused.peer = error.peer;
    refused.detail = error.detail;
    refused.retry_after_ms = static_cast<std::uint32_t>(error.retryAfter.value_or(Milliseconds(0)).count());
    refused.cut_at = cutAt.value();
    link->send(wire::message(std::move(refused)));
}

void RequestGate::settle(Incarnation router, std::uint64_t session, SequenceNumber floor)
{
    ledger_.settle(router, session, floor);
    stopAbandoned();
}

/// Stops calls that no caller waits for any more: it has received another result, or its router has disconnected.
void RequestGate::stopAbandoned()
{
    for (const DispatchKey& key : ledger_.takeAbandoned())
        stop(key, refusal(ErrorCode::CallerGone, "nobody waits any more", Execution::Unknown));
}

std::uint64_t RequestGate::openSession(Incarnation router) { return ledger_.openSession(router, ports_.clock.now()); }

void RequestGate::linkOpened(Incarnation router) { ledger_.linkOpened(router); }

void RequestGate::linkClosed(Incarnation router) { ledger_.linkClosed(router, ports_.clock.now()); }

void RequestGate::forgetDisconnectedRouters()
{
    ledger_.forgetDisconnectedRouters(ports_.clock.now());
    stopAbandoned();
}

/// Prevents the process from being killed while requests still wait: no process could then report that they never
/// reached the upstream, and their callers would learn only at their deadlines that the requests may have run. Requests
/// that can't end in time by the forecast are refused immediately, so that another upstream can serve them.
void RequestGate::beginDraining(const framework::ShutdownDeadlines& deadlines)
{
    shutdownDeadlines_ = deadlines;
    std::vector<DispatchKey> hopeless;
    for (auto& [key, call] : calls_) {
        if (call.upstream)
            armRunTimer(key, call);
        else if (queueRefusal({ key, call.request.priority, call.request.deadline }, call.target))
            hopeless.push_back(key);
        else
            armQueueTimer(key, call);
    }
    for (const DispatchKey& key : hopeless)
        stop(key, drainingRefusal("the agent ends before its turn", Execution::NotRun));
}

void RequestGate::publishMetrics()
{
    ports_.metrics->setGauge("lagoon_agent_running", running());
    ports_.metrics->setGauge("lagoon_agent_waiting", waiting());
}

RequestGate::Call* RequestGate::find(const DispatchKey& key)
{
    const auto found = calls_.find(key);
    return found == calls_.end() ? nullptr : &found->second;
}

} // namespace lagoon::agent
