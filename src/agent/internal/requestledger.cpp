#include "agent/internal/requestledger.h"

#include "policy/rendezvous.h"

#include <utility>

namespace lagoon::agent {

namespace {

using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::SequenceNumber;

Error refusal(ErrorCode code, std::string detail, Execution execution)
{
    return Error { code, "request ledger", "", std::move(detail), execution };
}

} // namespace

RequestLedger RequestLedger::restart(framework::Incarnation own, const LedgerLimits& limits)
{
    return RequestLedger(own, limits);
}

// Session numbers start at the incarnation, which is random. A Cancel frame names only the session, and one addressed
// to a previous process must not match an id of this process.
RequestLedger::RequestLedger(framework::Incarnation own, const LedgerLimits& limits)
    : own_(own)
    , limits_(limits)
    , nextSession_(own.value())
{
}

std::uint64_t RequestLedger::openSession(framework::Incarnation router, framework::SteadyTime now)
{
    const auto found = sessions_.find(router);
    if (found != sessions_.end())
        return found->second.number;
    Session& session = sessions_[router];
    session.number = nextSession_++;
    session.forgetAt = framework::Deadline::after(now, limits_.forgetRouterAfter);
    return session.number;
}

void RequestLedger::linkOpened(framework::Incarnation router)
{
    const auto found = sessions_.find(router);
    if (found != sessions_.end())
        ++found->second.links;
}

void RequestLedger::linkClosed(framework::Incarnation router, framework::SteadyTime now)
{
    const auto found = sessions_.find(router);
    if (found == sessions_.end() || found->second.links == 0)
        return;
    --found->second.links;
    found->second.forgetAt = framework::Deadline::after(now, limits_.forgetRouterAfter);
}

framework::Result<RequestLedger::Session*> RequestLedger::sessionFor(
    const DispatchKey& key, framework::Incarnation agentIncarnation)
{
    if (agentIncarnation != own_)
        return refusal(ErrorCode::StaleIncarnation, "meant for another process", Execution::Unknown);
    const auto found = sessions_.find(key.router);
    if (found == sessions_.end() || found->second.number != key.session)
        return refusal(ErrorCode::StaleSession, "the session isn't open", Execution::Unknown);
    return &found->second;
}

framework::Result<DispatchVerdict> RequestLedger::dispatch(
    const DispatchKey& key, framework::Incarnation agentIncarnation, SequenceNumber floor)
{
    // A frame refused here isn't run. Only `resolve` reports whether an earlier frame of the same id was run.
    auto session = sessionFor(key, agentIncarnation);
    if (session.has_error()) {
        Error error = session.error();
        error.execution = Execution::NotRun;
        return error;
    }
    raiseFloor(key.router, *session.value(), floor);
    // Prevents a second run by a frame that arrives after its request was settled.
    if (key.sequence < session.value()->floor)
        return refusal(ErrorCode::BelowFloor, "the id is settled", Execution::NotRun);
    auto& entries = session.value()->entries;
    const auto found = entries.find(key.sequence);
    if (found != entries.end() && found->second.state == EntryState::Fenced)
        return refusal(ErrorCode::Fenced, "the router has given it up", Execution::NotRun);
    if (found != entries.end())
        return DispatchVerdict::AlreadyKnown;
    if (entries_ >= limits_.entries || bytes_ >= limits_.bytes)
        return refusal(ErrorCode::TooManyWaiting, "the ledger is full", Execution::NotRun);
    entries.emplace(key.sequence, Entry {});
    ++entries_;
    return DispatchVerdict::Started;
}

void RequestLedger::fence(const DispatchKey& key)
{
    const auto session = sessionFor(key, own_);
    if (session.has_error() || key.sequence < session.value()->floor)
        return;
    const auto [entry, isNew] = session.value()->entries.try_emplace(key.sequence);
    if (!isNew)
        return;
    entry->second.state = EntryState::Fenced;
    ++entries_;
}

framework::Result<ResolveVerdict> RequestLedger::resolve(
    const DispatchKey& key, framework::Incarnation agentIncarnation, SequenceNumber floor)
{
    BOOST_OUTCOME_TRY(session, sessionFor(key, agentIncarnation));
    raiseFloor(key.router, *session, floor);
    if (key.sequence < session->floor)
        return refusal(ErrorCode::BelowFloor, "the id is settled and forgotten", Execution::Unknown);
    if (session->entries.count(key.sequence) == 0) {
        // Without space for the fence a late frame could still run, so the outcome is unknown.
        if (entries_ >= limits_.entries)
            return refusal(ErrorCode::TooManyWaiting, "the ledger has no room for a fence", Execution::Unknown);
        fence(key);
    }
    switch (session->entries.at(key.sequence).state) {
    case EntryState::Running:
        return ResolveVerdict::Running;
    case EntryState::Done:
        return ResolveVerdict::Done;
    case EntryState::Fenced:
        break;
    }
    return ResolveVerdict::Fenced;
}

void RequestLedger::settle(framework::Incarnation router, std::uint64_t session, SequenceNumber floor)
{
    const auto found = sessions_.find(router);
    if (found != sessions_.end() && found->second.number == session)
        raiseFloor(router, found->second, floor);
}

void RequestLedger::raiseFloor(framework::Incarnation router, Session& session, SequenceNumber floor)
{
    if (floor <= session.floor)
        return;
    session.floor = floor;
    auto entry = session.entries.begin();
    while (entry != session.entries.end() && entry->first < floor) {
        // A running entry stays until its work has ended; otherwise the accounted load of the upstream would be wrong.
        if (entry->second.state == EntryState::Running) {
            abandoned_.insert(DispatchKey { router, session.number, entry->first });
            ++entry;
            continue;
        }
        removeFromTotals(entry->second);
        entry = session.entries.erase(entry);
    }
}

void RequestLedger::removeFromTotals(const Entry& entry)
{
    bytes_ -= entry.answer.bytes.size();
    --entries_;
}

void RequestLedger::complete(const DispatchKey& key, std::optional<Error> refused)
{
    Entry* entry = findRunning(key);
    if (!entry)
        return;
    entry->state = EntryState::Done;
    entry->answer.refusal = std::move(refused);
    abandoned_.erase(key);
    Session& session = sessions_.at(key.router);
    if (key.sequence >= session.floor)
        return;
    removeFromTotals(*entry);
    session.entries.erase(key.sequence);
}

void RequestLedger::storeHead(const DispatchKey& key, unsigned short status, HttpHeaders headers)
{
    Entry* entry = findRunning(key);
    if (!entry)
        return;
    entry->answer.hasHead = true;
    entry->answer.status = status;
    entry->answer.headers = std::move(headers);
    entry->answer.checksum = policy::fnv1a(nullptr, 0);
}

void RequestLedger::storeBytes(const DispatchKey& key, const std::string& bytes)
{
    Entry* entry = findRunning(key);
    if (!entry)
        return;
    entry->answer.bytes += bytes;
    entry->answer.checksum = policy::fnv1a(bytes.data(), bytes.size(), entry->answer.checksum);
    bytes_ += bytes.size();
}

void RequestLedger::forgetDisconnectedRouters(framework::SteadyTime now)
{
    for (auto session = sessions_.begin(); session != sessions_.end();) {
        if (session->second.links > 0 || !session->second.forgetAt.hasPassed(now)) {
            ++session;
            continue;
        }
        const SequenceNumber aboveAll(~std::uint64_t { 0 });
        raiseFloor(session->first, session->second, aboveAll);
        // Running entries keep the session until their upstream calls have ended.
        session = session->second.entries.empty() ? sessions_.erase(session) : std::next(session);
    }
}

std::vector<DispatchKey> RequestLedger::takeAbandoned()
{
    std::vector<DispatchKey> keys(abandoned_.begin(), abandoned_.end());
    abandoned_.clear();
    return keys;
}

const RequestLedger::Entry* RequestLedger::find(const DispatchKey& key) const
{
    const auto session = sessions_.find(key.router);
    if (session == sessions_.end() || session->second.number != key.session)
        return nullptr;
    const auto entry = session->second.entries.find(key.sequence);
    return entry == session->second.entries.end() ? nullptr : &entry->second;
}

RequestLedger::Entry* RequestLedger::findRunning(const DispatchKey& key)
{
    // The cast is safe: the entry belongs to this object, which isn't const here.
    auto* entry = const_cast<Entry*>(find(key));
    return entry && entry->state == EntryState::Running ? entry : nullptr;
}

bool RequestLedger::isRunning(const DispatchKey& key) const
{
    const Entry* entry = find(key);
    return entry && entry->state == EntryState::Running;
}

const StoredAnswer* RequestLedger::answer(const DispatchKey& key) const
{
    const Entry* entry = find(key);
    return entry && entry->state != EntryState::Fenced ? &entry->answer : nullptr;
}

} // namespace lagoon::agent
