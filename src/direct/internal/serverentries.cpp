#include "direct/internal/serverentries.h"

#include "direct/internal/shortened.h"
#include "framework/decisionlog.h"

#include <tuple>
#include <utility>

namespace lagoon::direct {

namespace {

using catalog::Upstream;
using catalog::UpstreamState;
using framework::LogLine;
using framework::Result;
using objectstore::FeedObject;

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

void ServerEntries::apply(const FeedObject& object, Result<Upstream> read)
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
    if (isEarlier(upstream.started, entry.started)) {
        logDecision(LogLine("server_entry_late")
                        .text("server", shortened(object.name))
                        .number("started_ms", upstream.started->value())
                        .number("later_ms", entry.started->value())
                        .flag("leaving", upstream.state == UpstreamState::Draining)
                        .number("revision", object.revision.value()));
        return applyDraining(entry, upstream);
    }
    logServerChange(object, entry.upstream, upstream);
    entry.started = upstream.started;
    entry.upstream = std::move(upstream);
    entry.upstream->firstListed = object.created;
}

/// A server that reports its start time always does, so an entry without it was written by another writer.
Result<Upstream> ServerEntries::checked(Result<Upstream> read, const Entry& before)
{
    if (read.has_value() && before.started && !read.value().started)
        return framework::Error { framework::ErrorCode::BadObject, "read server", {},
            "no start time, although the entry had one before" };
    return read;
}

/// Applies the draining state of an entry with an earlier start time. Prevents requests to a draining server whose
/// clock was set back before it restarted, so that all its entries seem to be of an earlier run. If the entry really is
/// of the earlier run, the later run lists itself as ready again within a heartbeat.
void ServerEntries::applyDraining(Entry& entry, const Upstream& earlier)
{
    if (entry.upstream && earlier.state == UpstreamState::Draining)
        entry.upstream->state = UpstreamState::Draining;
}

void ServerEntries::remove(const std::string& name)
{
    entries_.erase(name);
    logDecision(LogLine("server_unlisted").text("server", shortened(name)));
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

/// Leaves out a server that has ended and whose successor already uses its address: the platform takes seconds to
/// notice, and until then every request for the old one would be refused.
std::vector<Upstream> ServerEntries::servers() const
{
    std::map<framework::Endpoint, const Upstream*> newest;
    for (const auto& [name, entry] : entries_) {
        if (!entry.upstream || entry.isOfUnknownService)
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
