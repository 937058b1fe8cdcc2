#include "router/internal/agentsession.h"

#include "framework/decisionlog.h"
#include "framework/logging.h"
#include "quarantine/evidencewire.h"

#include <algorithm>
#include <utility>

namespace lagoon::router {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using framework::SequenceNumber;
using framework::SteadyTime;
using wire::Message;

namespace {

constexpr Milliseconds tickInterval { 100 };
constexpr Milliseconds minReconnectDelay { 100 };
constexpr Milliseconds maxReconnectDelay { 1000 };
/// Number of settled dispatches after which the floor is sent to the agent without waiting for the next dispatch or
/// ping.
constexpr std::uint32_t settleBatch = 16;
/// Number of links lost in a row after which unsent dispatches end as not run.
constexpr std::uint32_t maxConnectAttemptsForUnsent = 2;
/// Weight of the latest answer in the moving average of the time to the first byte.
constexpr double firstByteSmoothing = 0.2;
constexpr std::size_t malformedLinesPerSecond = 20;

callers::HttpHeaders headersOf(const wire::fb::AnswerHeadT& head)
{
    callers::HttpHeaders headers;
    for (const auto& header : head.headers) {
        if (header)
            headers.emplace_back(header->name, header->value);
    }
    return headers;
}

std::optional<http::AnswerFault> faultOf(unsigned status, const callers::HttpHeaders& headers)
{
    if (auto fault = http::statusFault(status))
        return fault;
    for (const auto& [name, value] : headers) {
        if (auto fault = http::fieldFault(name, value))
            return fault;
    }
    return std::nullopt;
}

Error errorOf(const wire::fb::RefusedT& refused)
{
    Error error { static_cast<ErrorCode>(refused.code), refused.step, refused.peer, refused.detail,
        refused.execution == 0 ? Execution::NotRun : Execution::Unknown };
    if (refused.retry_after_ms > 0)
        error.retryAfter = Milliseconds(refused.retry_after_ms);
    return error;
}

} // namespace

AgentSession::AgentSession(const SessionContext& context, framework::VmName agent, framework::Endpoint endpoint)
    : context_(context)
    , agent_(std::move(agent))
    , endpoint_(std::move(endpoint))
    , malformedLines_(malformedLinesPerSecond)
{
}

SequenceNumber AgentSession::dispatch(
    wire::fb::DispatchT frame, Deadline deadline, std::shared_ptr<AnswerStream> stream, OutcomeHandler onOutcome)
{
    const std::uint64_t sequence = nextSequence_++;
    const SteadyTime now = context_.clock.now();
    {
        const std::lock_guard lock(streamsMutex_);
        streams_.emplace(sequence, stream);
    }
    const auto entry = inFlight_.emplace(
        sequence, InFlight { std::move(frame), std::move(stream), std::move(onOutcome), false, now, deadline });
    entry.first->second.frame.id = std::make_unique<wire::fb::DispatchIdT>();
    entry.first->second.frame.id->sequence = sequence;
    connect();
    if (isOpen_)
        send(entry.first->second);
    armTick();
    return SequenceNumber(sequence);
}

void AgentSession::cancel(SequenceNumber sequence)
{
    const auto entry = inFlight_.find(sequence.value());
    if (entry == inFlight_.end())
        return;
    sendCancel(entry->second);
    entry->second.onOutcome = nullptr;
    settle(sequence, framework::success());
}

void AgentSession::sendCancel(const InFlight& entry)
{
    if (!entry.wasSent || !isOpen_)
        return;
    wire::fb::CancelT cancel;
    cancel.id = std::make_unique<wire::fb::DispatchIdT>(*entry.frame.id);
    link_->send(wire::message(std::move(cancel)));
}

void AgentSession::requestBid(
    const wire::fb::TargetT& target, framework::BundleVersion version, AnswerHandler<wire::fb::BidT> onAnswer)
{
    wire::fb::BidRequestT request;
    request.bundle_version = version.value();
    request.correlation = nextCorrelation_++;
    request.target = std::make_unique<wire::fb::TargetT>(target);
    const std::uint64_t correlation = request.correlation;
    sendQuery(correlation, wire::message(std::move(request)),
        Query { [onAnswer = std::move(onAnswer)](const framework::Result<const Message*>& answer) {
            if (answer.has_error())
                onAnswer(answer.error());
            else if (const wire::fb::BidT* bid = answer.value()->body.AsBid())
                onAnswer(wire::fb::BidT(*bid));
        } });
}

void AgentSession::load(wire::fb::LoadT load, AnswerHandler<wire::fb::LoadResultT> onAnswer)
{
    load.correlation = nextCorrelation_++;
    const std::uint64_t correlation = load.correlation;
    sendQuery(correlation, wire::message(std::move(load)),
        Query { [onAnswer = std::move(onAnswer)](const framework::Result<const Message*>& answer) {
            if (answer.has_error())
                onAnswer(answer.error());
            else if (const wire::fb::LoadResultT* result = answer.value()->body.AsLoadResult())
                onAnswer(wire::fb::LoadResultT(*result));
        } });
}

void AgentSession::sendQuery(std::uint64_t correlation, Message query, Query handler)
{
    pendingQueries_.emplace(correlation, std::move(handler));
    connect();
    if (isOpen_)
        link_->send(query);
    else
        unsentQueries_.push_back(std::move(query));
    armTick();
}

void AgentSession::setGone()
{
    const Error gone = error(ErrorCode::AgentRestarted, "dispatch", "the VM is gone", Execution::Unknown);
    dropLink();
    failQueries(gone);
    failUnsent(error(ErrorCode::LinkLost, "dispatch", "the VM is gone", Execution::NotRun));
    failSent(gone);
}

void AgentSession::close()
{
    tickTimer_.reset();
    dropLink();
}

void AgentSession::connect()
{
    const SteadyTime now = context_.clock.now();
    if (link_ || !connectAt_.hasPassed(now))
        return;
    lastReceived_ = now.time_since_epoch().count();
    const std::weak_ptr<AgentSession> weak = weak_from_this();
    wire::LinkHandlers handlers;
    handlers.onMessage = [weak](const std::shared_ptr<wire::ILink>& link, Message message) {
        if (const auto self = weak.lock())
            self->receive(link, std::move(message));
    };
    handlers.onClosed = [weak](const std::shared_ptr<wire::ILink>& link, const Error& why) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->context_.control.post([self, link, why] {
            if (link == self->link_)
                self->linkLost(why);
        });
    };
    link_ = context_.transport.connect(endpoint_, std::move(handlers));
    wire::fb::HelloT hello;
    hello.sender_vm = context_.ownVm.value();
    hello.sender_incarnation = context_.ownIncarnation.value();
    hello.bundle_version = context_.bundleVersion().value();
    hello.takes_evidence = true;
    link_->send(wire::message(std::move(hello)));
}

void AgentSession::receive(const std::shared_ptr<wire::ILink>& link, Message message)
{
    lastReceived_ = context_.clock.now().time_since_epoch().count();
    if (const wire::fb::AnswerHeadT* head = message.body.AsAnswerHead())
        return receiveHead(*head);
    if (const wire::fb::AnswerChunkT* chunk = message.body.AsAnswerChunk()) {
        const auto stream = isOwnId(*chunk->id) ? streamOf(chunk->id->sequence) : nullptr;
        if (stream && !stream->chunk(chunk->offset, chunk->bytes))
            context_.metrics.count("lagoon_answer_gaps_total");
        return;
    }
    context_.control.post([self = shared_from_this(), link, message = std::make_shared<Message>(std::move(message))] {
        if (link == self->link_)
            self->handle(link, *message);
    });
}

void AgentSession::receiveHead(const wire::fb::AnswerHeadT& head)
{
    const auto stream = isOwnId(*head.id) ? streamOf(head.id->sequence) : nullptr;
    if (!stream)
        return;
    const callers::HttpHeaders headers = headersOf(head);
    const auto fault = faultOf(head.status, headers);
    if (!fault)
        return stream->head(head.status, headers, context_.clock.now());
    context_.control.post([self = shared_from_this(), sequence = SequenceNumber(head.id->sequence), fault = *fault] {
        self->failMalformed(sequence, fault);
    });
}

/// Fails a dispatch whose answer the agent has passed on although it is malformed.
void AgentSession::failMalformed(SequenceNumber sequence, const http::AnswerFault& fault)
{
    const auto entry = inFlight_.find(sequence.value());
    if (entry == inFlight_.end())
        return;
    if (const auto omitted = malformedLines_.admit(context_.clock.now())) {
        framework::LogLine line("agent_answer_malformed");
        line.text("agent", agent_.value()).text("cause", fault.logText()).number("omitted", *omitted);
        framework::logWarning("router", line.json());
    }
    sendCancel(entry->second);
    settle(sequence,
        error(ErrorCode::UpstreamBroken, "receive answer", "malformed answer, " + fault.what, Execution::Unknown));
}

void AgentSession::handle(const std::shared_ptr<wire::ILink>&, const Message& message)
{
    switch (message.body.type) {
    case wire::fb::Body::HelloAck:
        return handleHello(*message.body.AsHelloAck());
    case wire::fb::Body::AnswerEnd:
        return handleEnd(*message.body.AsAnswerEnd());
    case wire::fb::Body::Refused:
        return handleRefused(*message.body.AsRefused());
    case wire::fb::Body::Pong:
        load_ = { message.body.AsPong()->running, message.body.AsPong()->waiting };
        context_.observeVersion(framework::BundleVersion(message.body.AsPong()->bundle_version));
        return;
    case wire::fb::Body::CrashEvidence:
        return context_.didReceiveEvidence(agent_, *message.body.AsCrashEvidence());
    case wire::fb::Body::Bid:
        return completeQuery(message.body.AsBid()->correlation, message);
    case wire::fb::Body::LoadResult:
        return completeQuery(message.body.AsLoadResult()->correlation, message);
    default:
        context_.metrics.count("lagoon_bad_frames_total", { { "reason", "unexpected" } });
    }
}

void AgentSession::handleHello(const wire::fb::HelloAckT& hello)
{
    context_.observeVersion(framework::BundleVersion(hello.bundle_version));
    isOpen_ = true;
    takesEvidence_ = hello.takes_evidence;
    isSuspect_ = false;
    failedConnects_ = 0;
    if (agentIncarnation_ != 0 && agentIncarnation_ != hello.receiver_incarnation)
        failSent(error(ErrorCode::AgentRestarted, "resolve", "the agent was started anew", Execution::Unknown));
    else if (session_ != 0 && session_ != hello.session)
        failSent(error(ErrorCode::StaleSession, "resolve", "the agent forgot the session", Execution::Unknown));
    agentIncarnation_ = hello.receiver_incarnation;
    session_ = hello.session;
    for (auto& [sequence, entry] : inFlight_) {
        if (entry.wasSent)
            resolve(entry);
        else
            send(entry);
    }
    for (const Message& query : std::exchange(unsentQueries_, {}))
        link_->send(query);
    nextPing_ = Deadline::after(context_.clock.now(), context_.settings.pingInterval);
    if (takesEvidence_)
        context_.didOpenToEvidence(agent_);
}

void AgentSession::send(InFlight& entry)
{
    entry.wasSent = true;
    const SteadyTime now = context_.clock.now();
    // Moves the dispatch out and keeps only its id and fingerprint: nothing else is needed later, and the body may be
    // large.
    entry.frame.id->router_incarnation = context_.ownIncarnation.value();
    entry.frame.id->session = session_;
    entry.frame.agent_incarnation = agentIncarnation_;
    entry.frame.floor = floor();
    entry.frame.remaining_ms = static_cast<std::uint32_t>(entry.deadline.remaining(now).count());
    wire::fb::DispatchT frame(std::move(entry.frame));
    entry.frame = wire::fb::DispatchT();
    entry.frame.id = std::make_unique<wire::fb::DispatchIdT>(*frame.id);
    entry.frame.fingerprint = frame.fingerprint;
    link_->send(wire::message(std::move(frame)));
}

void AgentSession::resolve(const InFlight& entry)
{
    context_.metrics.count("lagoon_resolves_total");
    wire::fb::ResolveT query;
    query.id = std::make_unique<wire::fb::DispatchIdT>(*entry.frame.id);
    query.agent_incarnation = agentIncarnation_;
    query.received_bytes = entry.stream->receivedBytes();
    query.floor = floor();
    link_->send(wire::message(std::move(query)));
}

void AgentSession::handleEnd(const wire::fb::AnswerEndT& end)
{
    load_ = { end.running, end.waiting };
    const auto entry = isOwnId(*end.id) ? inFlight_.find(end.id->sequence) : inFlight_.end();
    if (entry == inFlight_.end())
        return;
    const SteadyTime begunAt = entry->second.stream->begunAt().value_or(context_.clock.now());
    const double seconds = std::chrono::duration<double>(begunAt - entry->second.dispatchedAt).count();
    // The first answer sets the average: an average that started at 0 would make a new agent look fast.
    const bool isFirst = firstByteSeconds_ == 0;
    firstByteSeconds_ += (isFirst ? 1 : firstByteSmoothing) * (seconds - firstByteSeconds_);
    lastAnswer_ = context_.clock.now();
    const SequenceNumber sequence(end.id->sequence);
    if (entry->second.stream->isComplete(end.length, end.checksum))
        return settle(sequence, framework::success());
    settle(sequence,
        error(ErrorCode::UpstreamBroken, "receive answer", "length or checksum disagree", Execution::Unknown));
}

void AgentSession::handleRefused(const wire::fb::RefusedT& refused)
{
    if (!isOwnId(*refused.id))
        return;
    Error why = errorOf(refused);
    if (why.peer.empty())
        why.peer = agent_.value();
    noteCut(refused);
    settle(SequenceNumber(refused.id->sequence), why);
}

/// The agent reports the crash to all routers, but a retry of this request may come before that.
void AgentSession::noteCut(const wire::fb::RefusedT& refused) const
{
    const auto entry = inFlight_.find(refused.id->sequence);
    if (refused.cut_at.empty() || entry == inFlight_.end())
        return;
    if (const auto request = quarantine::fingerprintFrom(entry->second.frame.fingerprint))
        context_.didCut({ *request, quarantine::ServerRunId(refused.cut_at), entry->second.dispatchedAt, false });
}

void AgentSession::completeQuery(std::uint64_t correlation, const Message& message)
{
    auto query = pendingQueries_.extract(correlation);
    if (!query.empty())
        query.mapped().onAnswer(&message);
}

void AgentSession::settle(SequenceNumber sequence, const DispatchOutcome& outcome)
{
    auto entry = inFlight_.extract(sequence.value());
    if (entry.empty())
        return;
    {
        const std::lock_guard lock(streamsMutex_);
        streams_.erase(sequence.value());
    }
    ++settledSinceFloor_;
    if (isOpen_ && (inFlight_.empty() || settledSinceFloor_ >= settleBatch)) {
        settledSinceFloor_ = 0;
        wire::fb::SettleT settled;
        settled.session = session_;
        settled.floor = floor();
        link_->send(wire::message(std::move(settled)));
    }
    if (entry.mapped().onOutcome)
        entry.mapped().onOutcome(outcome);
}

void AgentSession::linkLost(const Error& why)
{
    ++failedConnects_;
    isSuspect_ = true;
    // The first attempt to reconnect is immediate, since the agent may be healthy and only the link silent.
    const Milliseconds wait = std::min(maxReconnectDelay, minReconnectDelay * (failedConnects_ - 1));
    connectAt_ = Deadline::after(context_.clock.now(), wait);
    context_.metrics.count("lagoon_links_lost_total", { { "step", why.step } });
    dropLink();
    failQueries(why);
    // The unsent dispatches haven't left the process, so they can safely be sent to another agent.
    if (failedConnects_ >= maxConnectAttemptsForUnsent || why.step == "connect")
        failUnsent(error(ErrorCode::LinkLost, "connect", why.detail, Execution::NotRun));
    armTick();
}

void AgentSession::dropLink()
{
    if (link_)
        link_->close();
    link_.reset();
    isOpen_ = false;
    takesEvidence_ = false;
}

void AgentSession::setKeptOpen(bool isKeptOpen)
{
    if (std::exchange(isKeptOpen_, isKeptOpen) || !isKeptOpen)
        return;
    connect();
    armTick();
}

void AgentSession::sendEvidence(const Message& message)
{
    if (takesEvidence())
        link_->send(message);
}

void AgentSession::failQueries(const Error& why)
{
    unsentQueries_.clear();
    for (auto& [correlation, query] : std::exchange(pendingQueries_, {}))
        query.onAnswer(why);
}

void AgentSession::failUnsent(const Error& why) { failEach(false, why); }

void AgentSession::failSent(const Error& why) { failEach(true, why); }

void AgentSession::failEach(bool wasSent, const Error& why)
{
    // Collects the sequence numbers first, since an outcome handler may dispatch again and change `inFlight_`.
    std::vector<std::uint64_t> failed;
    for (const auto& [sequence, entry] : inFlight_) {
        if (entry.wasSent == wasSent)
            failed.push_back(sequence);
    }
    for (const std::uint64_t sequence : failed)
        settle(SequenceNumber(sequence), why);
}

void AgentSession::armTick()
{
    const SteadyTime now = context_.clock.now();
    // The silence limit counts from the moment at which the agent has something to answer.
    if (idleUntil_ != Deadline())
        lastReceived_ = now.time_since_epoch().count();
    idleUntil_ = Deadline();
    armTickAt(Deadline::after(now, tickInterval));
}

/// An idle session has no tick before its link is due to be closed: with hundreds of agents, most of them idle, ticks
/// would cost more than the work itself.
void AgentSession::armTickAt(Deadline at)
{
    if (tickTimer_ && tickAt_ <= at)
        return;
    tickAt_ = at;
    tickTimer_ = context_.control.runAt(at, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->tick();
    });
}

/// Replaces links that go silent permanently while new ones would work: if nothing is received within the silence limit
/// although pings were sent, the link is closed, and all dispatches sent on it are resolved over a new one.
void AgentSession::tick()
{
    tickTimer_.reset();
    const SteadyTime now = context_.clock.now();
    const bool isBusy = !inFlight_.empty() || !pendingQueries_.empty() || isKeptOpen_;
    if (!isBusy) {
        if (!link_)
            return;
        if (idleUntil_ == Deadline())
            idleUntil_ = Deadline::after(now, context_.settings.idleLimit);
        if (idleUntil_.hasPassed(now))
            return dropLink();
        return armTickAt(idleUntil_);
    }
    connect();
    const SteadyTime lastReceived { SteadyTime::duration(lastReceived_.load()) };
    if (now - lastReceived > context_.settings.silenceLimit) {
        framework::logWarning("router", "link to " + agent_.value() + " is silent, opening another");
        linkLost(Error { ErrorCode::LinkLost, "await answer", agent_.value(), "silent" });
        connect();
    } else if (isOpen_ && nextPing_.hasPassed(now) && now - lastReceived >= context_.settings.pingInterval) {
        // Pings only links that receive nothing else: while tokens stream, pings on each link would cost a router at
        // the target size 89 KB/s, where its budget for control traffic is 27 KB/s (docs/CAPACITY.md).
        nextPing_ = Deadline::after(now, context_.settings.pingInterval);
        wire::fb::PingT ping;
        ping.nonce = nextCorrelation_++;
        ping.floor = floor();
        ping.bundle_version = context_.bundleVersion().value();
        link_->send(wire::message(ping));
    }
    armTick();
}

bool AgentSession::wasSent(SequenceNumber sequence) const
{
    const auto entry = inFlight_.find(sequence.value());
    return entry == inFlight_.end() || entry->second.wasSent;
}

std::uint64_t AgentSession::floor() const { return inFlight_.empty() ? nextSequence_ : inFlight_.begin()->first; }

std::shared_ptr<AnswerStream> AgentSession::streamOf(std::uint64_t sequence) const
{
    const std::lock_guard lock(streamsMutex_);
    const auto found = streams_.find(sequence);
    return found == streams_.end() ? nullptr : found->second;
}

bool AgentSession::isOwnId(const wire::fb::DispatchIdT& id) const
{
    return id.router_incarnation == context_.ownIncarnation.value();
}

Error AgentSession::error(ErrorCode code, std::string step, std::string detail, Execution execution) const
{
    return Error { code, std::move(step), agent_.value(), std::move(detail), execution };
}

} // namespace lagoon::router
