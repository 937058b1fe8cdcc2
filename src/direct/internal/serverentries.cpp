#include "direct/internal/serverentries.h"

#include "direct/internal/shortened.h"
#include "framework/decisionlog.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lagoon::direct {

namespace {

using catalog::Upstream;
using catalog::UpstreamState;
using framework::Deadline;
using framework::LogLine;
using framework::Milliseconds;
using framework::Result;
using framework::SteadyTime;
using objectstore::FeedObject;

/// The platform removes an entry after three heartbeats of silence. One more covers the delay of the list.
constexpr int heartbeatsUntilDecided = 4;
/// Longer than a write may be late, and than a leaving server may stay out of the list and come back.
constexpr Milliseconds removedRetention { 3600 * 1000 };
constexpr std::size_t maxRemoved = 4096;

/// Detects an entry that a server wrote before it restarted, but that the store applied only after the new run's entry.
bool isEarlier(const std::optional<catalog::StartTime>& started, const std::optional<catalog::StartTime>& latest)
{
    return started && latest && *started < *latest;
}

/// Compares two servers at one address. The start time decides, since a restarted server keeps the age of its entry. A
/// server without a start time doesn't displace one that has it; among servers without, the age of the entry decides.
bool isNewer(const Upstream& upstream, const Upstream& other)
{
    return std::tie(upstream.started, upstream.firstListed) > std::tie(other.started, other.firstListed);
}

/// A name's object and its share of the list that holds it.
constexpr std::size_t bytesPerName = 64;

template <typename Name> std::size_t bytesOf(const std::vector<Name>& names)
{
    std::size_t bytes = 0;
    for (const Name& name : names)
        bytes += name.value().size() + bytesPerName;
    return bytes;
}

std::size_t nameBytesOf(const Upstream& upstream)
{
    std::size_t bytes = bytesOf(upstream.cachedWeights.memory) + bytesOf(upstream.cachedWeights.disk);
    for (const catalog::LoadedModel& model : upstream.models)
        bytes += model.model.value().size() + 2 * bytesPerName + bytesOf(model.adapters);
    return bytes;
}

void logServerChange(const FeedObject& object, const std::optional<Upstream>& before, const Upstream& upstream)
{
    const bool isRestarted = before && before->started != upstream.started;
    const bool isUnchanged = before && before->state == upstream.state && before->version == upstream.version;
    if (isUnchanged && !isRestarted)
        return;
    LogLine line(isRestarted ? "server_restarted" : before ? "server_changed" : "server_listed");
    line.text("server", shortened(object.name))
        .text("service", shortened(upstream.service.value()))
        .text("at", upstream.endpoint.value())
        .text("state", upstream.state == UpstreamState::Ready ? "ready" : "leaving")
        .number("revision", object.revision.value());
    if (upstream.version)
        line.text("version", shortened(upstream.version->name()));
    if (upstream.started)
        line.number("started_ms", upstream.started->value());
    logDecision(line);
}

} // namespace

void ServerEntries::apply(const FeedObject& object, Result<Upstream> read, SteadyTime now)
{
    Entry& entry = entries_[object.name];
    read = checked(std::move(read), entry);
    if (read.has_error()) {
        logDecision(LogLine("server_refused")
                        .text("name", shortened(object.name))
                        .number("revision", object.revision.value())
                        .flag("known_before", entry.upstream.has_value())
                        .text("cause", describe(read.error())));
        entry.upstream.reset();
        entry.late.reset();
        return countNames(entry);
    }
    limitNames(object.name, entry, read.value());
    if (isLate(read.value(), entry))
        holdLate(object, entry, std::move(read.value()), now);
    else
        accept(object, entry, std::move(read.value()), now);
    countNames(entry);
}

/// Prevents entries of other writers from using up the memory. Without the names, a server counts as holding nothing
/// until its agent says what it holds.
void ServerEntries::limitNames(const std::string& name, const Entry& entry, Upstream& upstream) const
{
    const std::size_t bytes = nameBytesOf(upstream);
    const std::size_t ofOthers = nameBytes_ - entry.nameBytes;
    if (bytes <= maxNamesOfEntry && ofOthers + bytes <= maxNames)
        return;
    logDecision(LogLine("server_names_left_out").text("server", shortened(name)).number("bytes", bytes));
    upstream.models.clear();
    upstream.cachedWeights = {};
}

void ServerEntries::countNames(Entry& entry)
{
    nameBytes_ -= entry.nameBytes;
    entry.nameBytes = entry.upstream ? nameBytesOf(*entry.upstream) : 0;
    if (entry.late)
        entry.nameBytes += nameBytesOf(entry.late->upstream);
    nameBytes_ += entry.nameBytes;
}

void ServerEntries::accept(const FeedObject& object, Entry& entry, Upstream upstream, SteadyTime now)
{
    const bool isSameRun = upstream.started == entry.started;
    const bool isDraining = upstream.state == UpstreamState::Draining;
    const bool hasDrained = isSameRun && entry.hasDrained;
    if (hasDrained && !isDraining) {
        logDecision(LogLine("server_still_leaving").text("server", shortened(object.name)));
        upstream.state = UpstreamState::Draining;
    }
    logServerChange(object, entry.upstream, upstream);
    entry.unconfirmedSince = unconfirmedSince(object.name, entry, upstream, now);
    entry.started = upstream.started;
    entry.updates = upstream.updates;
    entry.hasDrained = hasDrained || isDraining;
    entry.upstream = std::move(upstream);
    entry.upstream->firstListed = object.created;
    entry.removal.reset();
    entry.late.reset();
}

/// A server that reports its start time always does, so an entry without it was written by another writer.
Result<Upstream> ServerEntries::checked(Result<Upstream> read, const Entry& before)
{
    if (read.has_value() && before.started && !read.value().started)
        return framework::Error { framework::ErrorCode::BadObject, "read server", {},
            "no start time, although the entry had one before" };
    return read;
}

/// Whether the content was written before what the entry has held. Without start times, a lower count may also be that
/// of a later run.
bool ServerEntries::isLate(const Upstream& upstream, const Entry& entry)
{
    const bool isOfSameRun = upstream.started && upstream.started == entry.started;
    return isEarlier(upstream.started, entry.started) || (isOfSameRun && upstream.updates < entry.updates);
}

/// Applies only the draining state of a late content. Prevents requests to a draining server whose clock was set back
/// before it restarted, so that its entry seems to be of an earlier run. If the entry really is of an earlier run, the
/// later run lists itself as ready again within a heartbeat.
void ServerEntries::holdLate(const FeedObject& object, Entry& entry, Upstream late, SteadyTime now)
{
    const bool isDraining = late.state == UpstreamState::Draining;
    LogLine line("server_entry_late");
    line.text("server", shortened(object.name))
        .number("updates", late.updates)
        .number("later_updates", entry.updates)
        .flag("leaving", isDraining)
        .number("revision", object.revision.value());
    if (late.started && entry.started)
        line.number("started_ms", late.started->value()).number("later_ms", entry.started->value());
    logDecision(line);
    entry.hasDrained = entry.hasDrained || (isDraining && late.started == entry.started);
    if (isDraining && entry.upstream)
        entry.upstream->state = UpstreamState::Draining;
    entry.late = LateContent { object, std::move(late), now };
    // The decoded content is kept, and not what it was decoded from.
    entry.late->object.value.reset();
}

/// Some servers leave without draining: their entry is removed. If the entry of the same run is written again, either
/// the server lives and had only been silent, or the write is one from before it left.
std::optional<SteadyTime> ServerEntries::unconfirmedSince(
    const std::string& name, const Entry& entry, const Upstream& upstream, SteadyTime now) const
{
    if (upstream.started != entry.started)
        return std::nullopt;
    if (entry.removal != Removal::Deleted)
        return entry.unconfirmedSince;
    logDecision(LogLine("server_unconfirmed")
                    .text("server", shortened(name))
                    .number("wait_ms", (heartbeat_ * heartbeatsUntilDecided).count()));
    return now;
}

/// A server that lives replaces a late content with its next heartbeat, and the platform removes an entry that nobody
/// renews. What still stands after that is what the server writes: it had only been silent, its clock was set back
/// before it started, or another writer had named a start or count that isn't the server's. In an outage of the store
/// nothing is replaced or removed.
bool ServerEntries::decide(SteadyTime confirmedAt, SteadyTime answeringSince)
{
    const auto isDecided = [&](SteadyTime since) {
        return Deadline::after(std::max(since, answeringSince), heartbeat_ * heartbeatsUntilDecided)
            .hasPassed(confirmedAt);
    };
    bool hasChanged = false;
    for (auto& [name, entry] : entries_) {
        if (entry.unconfirmedSince && isDecided(*entry.unconfirmedSince)) {
            entry.unconfirmedSince.reset();
            hasChanged = true;
        }
        if (!entry.late || !isDecided(entry.late->heardAt))
            continue;
        logDecision(LogLine("server_entry_accepted").text("server", shortened(name)));
        const LateContent late = *entry.late;
        accept(late.object, entry, late.upstream, confirmedAt);
        countNames(entry);
        entry.unconfirmedSince.reset();
        hasChanged = true;
    }
    return hasChanged;
}

void ServerEntries::remove(const std::string& name, Removal removal, SteadyTime now)
{
    Entry& entry = entries_[name];
    entry.upstream.reset();
    entry.late.reset();
    countNames(entry);
    entry.removal = removal;
    entry.forgetAt = Deadline::after(now, removedRetention);
    logDecision(LogLine("server_unlisted").text("server", shortened(name)));
}

void ServerEntries::forgetRemoved(SteadyTime now)
{
    std::vector<std::pair<Deadline, std::string>> removed;
    for (const auto& [name, entry] : entries_) {
        if (entry.removal)
            removed.emplace_back(entry.forgetAt, name);
    }
    std::sort(removed.begin(), removed.end());
    std::size_t left = removed.size();
    for (const auto& [forgetAt, name] : removed) {
        if (left <= maxRemoved && !forgetAt.hasPassed(now))
            break;
        entries_.erase(name);
        --left;
    }
}

/// Prevents such an entry from hiding a server at the same address. The entry is kept, since the configured services
/// may change at any time.
bool ServerEntries::markUnknownServices(const catalog::Configuration& configuration)
{
    bool hasChanged = false;
    for (auto& [name, entry] : entries_) {
        const bool isUnknown = entry.upstream && !configuration.find(entry.upstream->service);
        if (isUnknown && !entry.isOfUnknownService)
            logDecision(LogLine("server_left_out")
                            .text("server", shortened(name))
                            .text("service", shortened(entry.upstream->service.value()))
                            .text("cause", "service not in the configuration")
                            .number("configuration", configuration.version.value()));
        hasChanged = std::exchange(entry.isOfUnknownService, isUnknown) != isUnknown || hasChanged;
    }
    return hasChanged;
}

/// A server that may be leaving is better than none.
void ServerEntries::confirmWhereNeeded()
{
    std::set<framework::ServiceName> served;
    for (const auto& [name, entry] : entries_) {
        if (entry.upstream && !entry.unconfirmedSince && entry.upstream->state == UpstreamState::Ready)
            served.insert(entry.upstream->service);
    }
    for (auto& [name, entry] : entries_) {
        if (entry.upstream && !served.contains(entry.upstream->service))
            entry.unconfirmedSince.reset();
    }
}

/// Leaves out a server that has ended and whose successor already uses its address: the platform takes seconds to
/// notice, and until then every request for the old one would be refused.
std::vector<Upstream> ServerEntries::servers() const
{
    std::map<framework::Endpoint, const Upstream*> newest;
    for (const auto& [name, entry] : entries_) {
        if (!entry.upstream || entry.isOfUnknownService || entry.unconfirmedSince)
            continue;
        const Upstream*& known = newest[entry.upstream->endpoint];
        if (!known || isNewer(*entry.upstream, *known))
            known = &*entry.upstream;
    }
    std::vector<Upstream> list;
    for (const auto& [endpoint, upstream] : newest)
        list.push_back(*upstream);
    return list;
}

} // namespace lagoon::direct
