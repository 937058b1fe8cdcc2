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

/// The platform removes an entry after three heartbeats of silence; the fourth covers the way here.
constexpr int heartbeatsUntilConfirmed = 4;
/// A removed entry is remembered for longer than a write may be late.
constexpr Milliseconds removedRetention { 60 * 1000 };
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
        return;
    }
    Upstream& upstream = read.value();
    if (isLate(upstream, entry))
        return applyLate(object, entry, upstream, now);
    keepDraining(upstream, now);
    logServerChange(object, entry.upstream, upstream);
    entry.confirmedAt = confirmationOf(object.name, entry, upstream, now);
    entry.started = upstream.started;
    entry.updates = upstream.updates;
    entry.upstream = std::move(upstream);
    entry.upstream->firstListed = object.created;
    entry.removal.reset();
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

/// Applies only the draining state of a late entry. Prevents requests to a draining server whose clock was set back
/// before it restarted, so that all its entries seem to be of an earlier run. If the entry really is of an earlier run,
/// the later run lists itself as ready again within a heartbeat.
void ServerEntries::applyLate(const FeedObject& object, Entry& entry, const Upstream& late, SteadyTime now)
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
    if (!isDraining)
        return;
    noteDraining(late.run(), now);
    if (entry.upstream)
        entry.upstream->state = UpstreamState::Draining;
}

/// Prevents requests to a leaving server that its entry lists as ready again: the server wrote that before it began to
/// drain.
void ServerEntries::keepDraining(Upstream& upstream, SteadyTime now)
{
    if (upstream.state == UpstreamState::Draining)
        return noteDraining(upstream.run(), now);
    if (!drainingRuns_.isLeaving(upstream.run()))
        return;
    logDecision(LogLine("server_still_leaving").text("server", shortened(upstream.instance.value())));
    upstream.state = UpstreamState::Draining;
}

void ServerEntries::noteDraining(const catalog::UpstreamRun& run, SteadyTime now)
{
    notices::ServerNotice notice;
    notice.isLeaving = true;
    drainingRuns_.add(run, notice, now);
}

/// Some servers leave without draining: their entry is removed. If the entry of the same run is written again, either
/// the server lives and had only been silent, or the write is one from before it left. In the latter case the platform
/// removes the entry again, as nothing renews it.
Deadline ServerEntries::confirmationOf(
    const std::string& name, const Entry& entry, const Upstream& upstream, SteadyTime now) const
{
    if (upstream.started != entry.started)
        return {};
    if (entry.removal != Removal::Deleted)
        return entry.confirmedAt;
    const Milliseconds wait = heartbeat_ * heartbeatsUntilConfirmed;
    logDecision(LogLine("server_unconfirmed").text("server", shortened(name)).number("wait_ms", wait.count()));
    return Deadline::after(now, wait);
}

void ServerEntries::remove(const std::string& name, Removal removal, SteadyTime now)
{
    Entry& entry = entries_[name];
    entry.upstream.reset();
    entry.removal = removal;
    entry.forgetAt = Deadline::after(now, removedRetention);
    logDecision(LogLine("server_unlisted").text("server", shortened(name)));
}

void ServerEntries::expire(SteadyTime now)
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
    const auto isListed = [this](const catalog::InstanceId& instance) {
        const auto entry = entries_.find(instance.value());
        return entry != entries_.end() && !entry->second.removal;
    };
    drainingRuns_.expire(isListed, now);
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
void ServerEntries::confirmWhereNeeded(SteadyTime now)
{
    std::set<framework::ServiceName> served;
    for (const auto& [name, entry] : entries_) {
        if (entry.upstream && entry.confirmedAt.hasPassed(now) && entry.upstream->state == UpstreamState::Ready)
            served.insert(entry.upstream->service);
    }
    for (auto& [name, entry] : entries_) {
        if (entry.upstream && !served.contains(entry.upstream->service))
            entry.confirmedAt = Deadline();
    }
}

/// Leaves out a server that has ended and whose successor already uses its address: the platform takes seconds to
/// notice, and until then every request for the old one would be refused.
std::vector<Upstream> ServerEntries::servers(SteadyTime now) const
{
    std::map<framework::Endpoint, const Upstream*> newest;
    for (const auto& [name, entry] : entries_) {
        if (!entry.upstream || entry.isOfUnknownService)
            continue;
        if (!entry.confirmedAt.hasPassed(now))
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

std::optional<Deadline> ServerEntries::nextConfirmation(SteadyTime now) const
{
    std::optional<Deadline> next;
    for (const auto& [name, entry] : entries_) {
        if (entry.upstream && !entry.confirmedAt.hasPassed(now))
            next = std::min(next.value_or(entry.confirmedAt), entry.confirmedAt);
    }
    return next;
}

} // namespace lagoon::direct
