#include "streams/originexchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lagoon::streams {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;

/// Two of them may fail at the same time.
constexpr std::size_t keeperCount = 3;
/// More than keep a record, as the routers' lists of engines may differ.
constexpr std::size_t askedCount = 6;
/// The longest that a search takes, so that a caller is refused soon; long enough to open a link that was just reset.
constexpr Milliseconds searchTimeout { 400 };
constexpr Milliseconds retractionTimeout { 250 };
/// Records to one agent are sent together if they follow each other within this time. A caller may lose its router
/// right after the first event, so they must not wait for long.
constexpr Milliseconds sendInterval { 10 };
constexpr std::size_t maxRecordsPerFrame = 64;
/// Records that wait beyond this are dropped, the oldest first.
constexpr std::size_t maxWaitingRecords = 1024;
constexpr std::size_t maxOwnRecords = 16384;
constexpr std::size_t maxSearches = 1024;

Milliseconds ageOf(const DispatchRecord& record, SteadyTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - record.at);
}

} // namespace

OriginExchange::OriginExchange(Context context)
    : context_(std::move(context))
    , own_(maxOwnRecords)
{
}

void OriginExchange::setKeepers(const std::vector<Keeper>& keepers) { choice_.setKeepers(keepers); }

/// Also tells the agent what it may have known before a restart.
void OriginExchange::didOpen(const Endpoint& keeper)
{
    open_[keeper];
    const SteadyTime now = context_.clock.now();
    for (const auto& [attempt, record] : own_.records()) {
        if (record.keptUntil.hasPassed(now))
            continue;
        const std::vector<Endpoint> keepers = openKeepers(attempt, keeperCount);
        if (std::find(keepers.begin(), keepers.end(), keeper) != keepers.end())
            tell(keeper, record);
    }
    schedule();
    for (auto& [attempt, search] : searches_)
        askOpenKeepers(attempt, search);
    for (const auto& [attempt, retraction] : retractions_) {
        if (retraction.missing.contains(keeper))
            sendRetraction(keeper, retraction.record);
    }
}

/// What the agent was asked over this link is asked again over the next one.
void OriginExchange::didClose(const Endpoint& keeper)
{
    open_.erase(keeper);
    for (auto& [attempt, search] : searches_)
        search.asked.erase(keeper);
}

/// Returns the first keepers of the attempt's order to which a link is open.
std::vector<Endpoint> OriginExchange::openKeepers(const AttemptKey& attempt, std::size_t count) const
{
    std::vector<Endpoint> found;
    for (Endpoint& keeper : choice_.order(attempt)) {
        if (found.size() == count)
            break;
        if (open_.contains(keeper))
            found.push_back(std::move(keeper));
    }
    return found;
}

void OriginExchange::record(const DispatchRecord& record)
{
    const SteadyTime now = context_.clock.now();
    const DispatchRecord* const before = own_.find(record.attempt, now);
    const bool isTold = before && before->origin == record.origin && told_.contains(record.attempt);
    own_.add(record, now);
    dropOldTold(now);
    if (isTold)
        return;
    for (const Endpoint& keeper : openKeepers(record.attempt, keeperCount))
        tell(keeper, record);
    schedule();
}

/// Forgets who was told of records that have expired.
void OriginExchange::dropOldTold(SteadyTime now)
{
    constexpr std::size_t slack = 64;
    if (told_.size() > 2 * own_.size() + slack)
        std::erase_if(told_, [&](const auto& entry) { return !own_.find(entry.first, now); });
}

void OriginExchange::tell(const Endpoint& keeper, const DispatchRecord& record)
{
    Outbox& outbox = open_.at(keeper);
    told_[record.attempt].insert(keeper);
    outbox.dispatches.push_back(record);
    if (outbox.dispatches.size() <= maxWaitingRecords)
        return;
    outbox.dispatches.pop_front();
    context_.metrics.count("lagoon_stream_origins_dropped_total");
}

void OriginExchange::schedule()
{
    if (timer_)
        return;
    std::optional<Deadline> next;
    for (const auto& [keeper, outbox] : open_) {
        if (!outbox.dispatches.empty() && (!next || outbox.nextSend < *next))
            next = outbox.nextSend;
    }
    if (!next)
        return;
    timer_ = context_.control.runAt(*next, [this] {
        timer_.reset();
        sendDue();
        schedule();
    });
}

void OriginExchange::sendDue()
{
    const SteadyTime now = context_.clock.now();
    for (auto& [keeper, outbox] : open_) {
        if (outbox.dispatches.empty() || !outbox.nextSend.hasPassed(now))
            continue;
        const auto count = static_cast<std::ptrdiff_t>(std::min(maxRecordsPerFrame, outbox.dispatches.size()));
        OriginUpdate update;
        update.dispatches.assign(outbox.dispatches.begin(), outbox.dispatches.begin() + count);
        outbox.dispatches.erase(outbox.dispatches.begin(), outbox.dispatches.begin() + count);
        outbox.nextSend = Deadline::after(now, sendInterval);
        context_.send(keeper, toWire(update, now));
    }
}

void OriginExchange::find(const AttemptKey& attempt, std::function<void(const OriginAnswer&)> handler)
{
    const SteadyTime now = context_.clock.now();
    if (const DispatchRecord* const own = own_.find(attempt, now))
        return handler({ own->origin, "this router", ageOf(*own, now) });
    if (choice_.isEmpty() || (searches_.size() >= maxSearches && !searches_.contains(attempt)))
        return handler({});
    Search& search = searches_[attempt];
    search.handlers.push_back(std::move(handler));
    if (!search.timeout)
        search.timeout
            = context_.control.runAt(Deadline::after(now, searchTimeout), [this, attempt] { endSearch(attempt, {}); });
    askOpenKeepers(attempt, search);
}

void OriginExchange::askOpenKeepers(const AttemptKey& attempt, Search& search)
{
    OriginUpdate question;
    question.asked.push_back(attempt);
    const SteadyTime now = context_.clock.now();
    for (const Endpoint& keeper : openKeepers(attempt, askedCount)) {
        if (search.asked.insert(keeper).second)
            context_.send(keeper, toWire(question, now));
    }
}

/// Whether all agents that should have a record have answered that they have none.
bool OriginExchange::isUnknownToAll(const AttemptKey& attempt, const Search& search) const
{
    std::size_t preferred = 0;
    for (const Endpoint& keeper : choice_.order(attempt)) {
        if (preferred++ == keeperCount)
            break;
        if (!search.unknownTo.contains(keeper))
            return false;
    }
    return true;
}

void OriginExchange::endSearch(const AttemptKey& attempt, const OriginAnswer& answer)
{
    auto ended = searches_.extract(attempt);
    if (ended.empty())
        return;
    for (const auto& handler : ended.mapped().handlers)
        handler(answer);
}

void OriginExchange::receive(const Endpoint& from, const wire::fb::StreamOriginsT& body)
{
    const SteadyTime now = context_.clock.now();
    const OriginUpdate update = fromWire(body, now);
    for (const DispatchRecord& record : update.dispatches) {
        didConfirm(from, record.attempt, record.dispatch);
        if (record.origin)
            endSearch(record.attempt, { record.origin, from.value(), ageOf(record, now) });
        else
            didNotKnow(from, record.attempt);
    }
    for (const AttemptKey& attempt : update.unknown) {
        didConfirm(from, attempt, UINT32_MAX);
        didNotKnow(from, attempt);
    }
}

void OriginExchange::didNotKnow(const Endpoint& keeper, const AttemptKey& attempt)
{
    const auto search = searches_.find(attempt);
    if (search == searches_.end())
        return;
    search->second.unknownTo.insert(keeper);
    if (isUnknownToAll(attempt, search->second))
        endSearch(attempt, {});
}

void OriginExchange::retract(const DispatchRecord& record, std::function<void(bool)> handler)
{
    const SteadyTime now = context_.clock.now();
    const bool isKnown = own_.find(record.attempt, now) != nullptr;
    own_.add(record, now);
    // Who was told of a dropped record isn't known any more.
    if (!isKnown)
        return handler(false);
    const auto told = told_.find(record.attempt);
    if (told == told_.end())
        return handler(true);
    Retraction& retraction = retractions_[record.attempt];
    retraction = { record, told->second, std::move(handler),
        context_.control.runAt(Deadline::after(now, retractionTimeout),
            [this, attempt = record.attempt] { endRetraction(attempt, false); }) };
    for (const Endpoint& keeper : told->second) {
        if (open_.contains(keeper))
            sendRetraction(keeper, retraction.record);
    }
}

/// Asks for the record as well: the answer confirms that the agent has the retraction.
void OriginExchange::sendRetraction(const Endpoint& keeper, const DispatchRecord& record)
{
    OriginUpdate update;
    update.dispatches.push_back(record);
    update.asked.push_back(record.attempt);
    context_.send(keeper, toWire(update, context_.clock.now()));
}

void OriginExchange::didConfirm(const Endpoint& keeper, const AttemptKey& attempt, std::uint32_t dispatch)
{
    const auto retraction = retractions_.find(attempt);
    if (retraction == retractions_.end() || dispatch < retraction->second.record.dispatch)
        return;
    retraction->second.missing.erase(keeper);
    if (retraction->second.missing.empty())
        endRetraction(attempt, true);
}

void OriginExchange::endRetraction(const AttemptKey& attempt, bool isConfirmed)
{
    auto ended = retractions_.extract(attempt);
    if (ended.empty())
        return;
    if (isConfirmed)
        told_.erase(attempt);
    ended.mapped().handler(isConfirmed);
}

} // namespace lagoon::streams
