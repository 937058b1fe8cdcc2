#include "forwarding/internal/upstreamtable.h"

#include "framework/decisionlog.h"
#include "ratelimits/types/serverlimit.h"

#include <algorithm>
#include <set>

namespace lagoon::forwarding {

namespace {

using catalog::Upstream;
using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;

/// An agent reports every second; a state is unreliable after two missed reports.
constexpr Milliseconds stateTtl { 2500 };
/// If the engine is running after all, its agent reports it again within a second.
constexpr Milliseconds unreachableFor { 1500 };
/// A server takes longer than this to end, start again and load a model.
constexpr Milliseconds maxListAgeOfVersion { 3000 };
/// The maximum time until an agent that is reachable again is subscribed to.
constexpr Milliseconds agentUnreachableFor { 10000 };
/// Assumed while no agent has reported the number of routers: a share that is too small for a moment does less harm
/// than one that is too large.
constexpr std::uint32_t assumedRouters = 32;
/// The number of connections to a server that a router may always open.
constexpr std::size_t minConnections = 4;
/// The fraction of a server's connections that all routers together use: some are still closing when others open.
constexpr double usableConnectionShare = 0.85;
/// Prompt tokens that an engine is assumed to cache, until its agent has reported its memory.
const catalog::Tokens assumedPromptCapacity(100000);

/// Prevents the use of a state or list entry of a former run, of which nothing is valid any more: the list may lag
/// behind an agent, and an agent's report may have been in transit when the list was read.
bool isOfFormerRun(const std::optional<catalog::StartTime>& reported, const Upstream& known)
{
    return reported && known.started && *reported < *known.started;
}

void removeTarget(std::vector<catalog::LoadedModel>& held, const catalog::ModelTarget& target)
{
    if (target.adapter.value().empty()) {
        std::erase_if(held, [&](const catalog::LoadedModel& model) { return model.model == target.model; });
        return;
    }
    for (catalog::LoadedModel& model : held) {
        if (model.model == target.model)
            std::erase(model.adapters, target.adapter);
    }
}

/// Whether the known data of the server also applies to this list entry. An entry of a former run says nothing about
/// the version of this one.
bool isSameServer(const Upstream& known, const Upstream& listed)
{
    const bool isSameVersion
        = !known.version || known.version == listed.version || isOfFormerRun(listed.started, known);
    return known.endpoint == listed.endpoint && known.started >= listed.started && isSameVersion;
}

} // namespace

UpstreamRecord::UpstreamRecord(boost::asio::io_context& context, const Upstream& upstream)
    : facts(upstream)
    , connections(context, upstream.endpoint, http::ClientOptions {}, minConnections)
    , prompts(assumedPromptCapacity)
{
}

quarantine::ServerRunId serverRunId(const catalog::UpstreamRun& run)
{
    return quarantine::ServerRunId(ratelimits::serverRunKey(run).value());
}

void UpstreamTable::setUpstreams(const std::vector<Upstream>& upstreams)
{
    std::set<catalog::InstanceId> listed;
    for (const Upstream& upstream : upstreams) {
        listed.insert(upstream.instance);
        upsert(upstream);
    }
    std::erase_if(records_, [&](const auto& entry) {
        if (listed.contains(entry.first))
            return false;
        reportRunEnd(*entry.second, quarantine::EndSign::Unlisted);
        removeFromIndex(entry.second);
        return true;
    });
    limitConnections();
}

void UpstreamTable::reportRunEnd(const UpstreamRecord& record, quarantine::EndSign sign) const
{
    if (didEndRun_ && !isLeaving(record))
        didEndRun_(record.facts.run(), sign);
}

std::optional<Milliseconds> UpstreamTable::listAge(SteadyTime now) const
{
    if (!listConfirmedAt_)
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(now - *listConfirmedAt_);
}

void UpstreamTable::upsert(const Upstream& upstream)
{
    UpstreamPointer& record = records_[upstream.instance];
    if (!record || !isSameServer(record->facts, upstream)) {
        if (record) {
            if (record->facts.started < upstream.started)
                reportRunEnd(*record, quarantine::EndSign::Restarted);
            removeFromIndex(record);
        }
        record = std::make_shared<UpstreamRecord>(context_, upstream);
        return addToIndex(record);
    }
    if (record->facts.service != upstream.service)
        removeFromIndex(record);
    const auto started = record->facts.started;
    const auto version = record->facts.version;
    const bool isLagging = isOfFormerRun(upstream.started, record->facts);
    record->facts = upstream;
    record->facts.started = started;
    if (isLagging) {
        record->facts.version = version;
        record->facts.models.clear();
    }
    addToIndex(record);
}

void UpstreamTable::addToIndex(const UpstreamPointer& record)
{
    ServiceRecords& records = services_[record->facts.service];
    records.byEndpoint[record->facts.endpoint] = record;
    record->isIndexed = true;
    refreshReplicas(*record);
}

void UpstreamTable::removeFromIndex(const UpstreamPointer& record)
{
    ServiceRecords& records = services_[record->facts.service];
    record->isIndexed = false;
    records.speeds->forget(record->facts.run());
    const auto indexed = records.byEndpoint.find(record->facts.endpoint);
    if (indexed == records.byEndpoint.end() || indexed->second != record)
        return;
    records.byEndpoint.erase(indexed);
    unreachableAgents_.erase(record->facts.endpoint);
    records.replicas.remove(record->facts.endpoint);
}

/// Ignores a record that is kept alive only by its last requests and is no longer in the index.
void UpstreamTable::refreshReplicas(const UpstreamRecord& record)
{
    ServiceRecords& records = services_[record.facts.service];
    const auto indexed = records.byEndpoint.find(record.facts.endpoint);
    if (indexed != records.byEndpoint.end() && indexed->second.get() == &record)
        records.replicas.set(record.facts.endpoint, contentsOf(record));
}

ReplicaIndex::Contents UpstreamTable::contentsOf(const UpstreamRecord& record) const
{
    const ReportedState* const reported = lastReport(record);
    const std::vector<catalog::LoadedModel>& held = reported ? reported->state.held : record.facts.models;
    const catalog::CachedWeights& cached = reported ? reported->state.cachedWeights : record.facts.cachedWeights;
    const bool servesNothing = isLeaving(record) || unreachable_.contains(record.facts.endpoint);
    ReplicaIndex::Contents contents;
    for (const catalog::LoadedModel& model : held) {
        const bool isServed = !servesNothing && !(reported && reported->state.isDraining(model.model));
        (isServed ? contents.loaded : contents.cached).push_back(model.model);
    }
    if (reported && !reported->state.loading.value().empty())
        contents.cached.push_back(reported->state.loading);
    contents.cached.insert(contents.cached.end(), cached.memory.begin(), cached.memory.end());
    contents.cached.insert(contents.cached.end(), cached.disk.begin(), cached.disk.end());
    return contents;
}

void UpstreamTable::setConfiguration(catalog::ConfigurationPointer configuration)
{
    configuration_ = std::move(configuration);
    eventGaps_ = configuration_ ? catalog::shortestEventGaps(*configuration_) : decltype(eventGaps_)();
    limitConnections();
}

Milliseconds UpstreamTable::shortestMaxEventGap(const framework::ServiceName& service) const
{
    const auto gap = eventGaps_.find(service);
    return gap == eventGaps_.end() ? Milliseconds(0) : gap->second;
}

/// Prevents connection resets by a server whose connections are all in use: the routers share them without
/// communicating.
void UpstreamTable::limitConnections()
{
    if (!configuration_)
        return;
    for (const auto& [instance, record] : records_) {
        const catalog::Service* const service = configuration_->find(record->facts.service);
        if (!service)
            continue;
        const auto share = static_cast<std::size_t>(usableConnectionShare * service->maxConnections / routers());
        record->connections.setMaxConnections(std::max(minConnections, share));
    }
}

/// The routers share the servers' connections and the retry budgets.
void UpstreamTable::didCountRouters(std::uint32_t before)
{
    if (routers() == before)
        return;
    logDecision(framework::LogLine("routers_counted").number("routers", routers()).number("before", before));
    limitConnections();
}

void UpstreamTable::setState(catalog::EngineState state, SteadyTime now)
{
    const std::uint32_t before = routers();
    const Endpoint engine = state.engine;
    const bool isNewRun = noteRestart(state);
    eraseState(engine);
    routerCounts_.insert(state.routers);
    noteRouters();
    states_[engine] = { std::move(state), now };
    unreachable_.erase(engine);
    unreachableAgents_.erase(engine);
    if (const UpstreamPointer record = find(engine)) {
        didSeeActivity(*record, now);
        refreshReplicas(*record);
    }
    didCountRouters(before);
    if (isNewRun)
        limitConnections();
}

void UpstreamTable::setLoad(const catalog::EngineLoad& load, SteadyTime now)
{
    const auto known = states_.find(load.engine);
    if (known == states_.end())
        return;
    const std::uint32_t before = routers();
    const std::uint32_t reportedBefore = known->second.state.routers;
    if (!catalog::applyLoad(known->second.state, load))
        return;
    known->second.at = now;
    routerCounts_.erase(routerCounts_.find(reportedBefore));
    routerCounts_.insert(load.routers);
    noteRouters();
    if (const UpstreamPointer record = find(load.engine))
        didSeeActivity(*record, now);
    didCountRouters(before);
}

UpstreamPointer UpstreamTable::find(const Endpoint& endpoint) const
{
    for (const auto& [service, records] : services_) {
        const auto found = records.byEndpoint.find(endpoint);
        if (found != records.byEndpoint.end())
            return found->second;
    }
    return nullptr;
}

void UpstreamTable::didSeeActivity(UpstreamRecord& record, SteadyTime now)
{
    record.liveness.didSeeActivity(now, record.inFlight);
    record.unreachableUntil = framework::Deadline();
}

void UpstreamTable::didFailToConnect(UpstreamRecord& record, SteadyTime now)
{
    record.unreachableUntil = framework::Deadline::after(now, unreachableFor);
    unreachable_.insert(record.facts.endpoint);
    forgetState(record.facts.endpoint);
    refreshReplicas(record);
}

void UpstreamTable::expire(SteadyTime now)
{
    expireUnreachable(now);
    notices_.expire([this](const catalog::InstanceId& instance) { return records_.contains(instance); }, now);
}

void UpstreamTable::expireUnreachable(SteadyTime now)
{
    std::erase_if(unreachableAgents_, [now](const auto& entry) { return entry.second.hasPassed(now); });
    for (auto unreachable = unreachable_.begin(); unreachable != unreachable_.end();) {
        const UpstreamPointer record = find(*unreachable);
        if (record && !record->unreachableUntil.hasPassed(now)) {
            ++unreachable;
            continue;
        }
        unreachable = unreachable_.erase(unreachable);
        if (record)
            refreshReplicas(*record);
    }
}

/// An agent sees a restart of its engine before the list shows it. Without this, cached prompts that no longer exist
/// would attract requests, and requests sent over an idle connection of the former run would be lost.
bool UpstreamTable::noteRestart(const catalog::EngineState& state)
{
    const UpstreamPointer known = find(state.engine);
    if (!known || known->facts.started >= state.started)
        return false;
    Upstream facts = known->facts;
    facts.started = state.started;
    facts.version.reset();
    facts.models.clear();
    reportRunEnd(*known, quarantine::EndSign::Restarted);
    removeFromIndex(known);
    UpstreamPointer& record = records_[facts.instance];
    record = std::make_shared<UpstreamRecord>(context_, facts);
    addToIndex(record);
    return true;
}

std::optional<catalog::SoftwareVersion> UpstreamTable::softwareVersion(
    const UpstreamRecord& record, SteadyTime now) const
{
    const auto age = listAge(now);
    const ReportedState* const reported = state(record, now);
    const bool isReported = reported && reported->state.started && reported->state.started == record.facts.started;
    if (!isReported && (!age || *age > maxListAgeOfVersion))
        return std::nullopt;
    return record.facts.version;
}

void UpstreamTable::forgetState(const Endpoint& engine)
{
    if (!eraseState(engine))
        return;
    if (const UpstreamPointer record = find(engine))
        refreshReplicas(*record);
}

bool UpstreamTable::eraseState(const Endpoint& engine)
{
    const auto known = states_.find(engine);
    if (known == states_.end())
        return false;
    routerCounts_.erase(routerCounts_.find(known->second.state.routers));
    states_.erase(known);
    return true;
}

void UpstreamTable::didLoseAgent(const Endpoint& engine, SteadyTime now)
{
    unreachableAgents_[engine] = framework::Deadline::after(now, agentUnreachableFor);
    forgetState(engine);
}

std::set<Endpoint> UpstreamTable::enginesWithoutAgent() const
{
    std::set<Endpoint> engines;
    for (const auto& [engine, until] : unreachableAgents_)
        engines.insert(engine);
    return engines;
}

notices::NoticeTable::News UpstreamTable::didReceiveNotice(
    UpstreamRecord& record, const notices::ServerNotice& notice, SteadyTime now)
{
    const notices::NoticeTable::News news = notices_.add(record.facts.run(), notice, now);
    // The list may have replaced the record since the request was sent.
    const auto present = records_.find(record.facts.instance);
    if (news.leaves && present != records_.end())
        refreshReplicas(*present->second);
    return news;
}

bool UpstreamTable::isLeaving(const UpstreamRecord& record) const
{
    return record.facts.state != catalog::UpstreamState::Ready
        || (!notices_.isEmpty() && notices_.isLeaving(record.facts.run()));
}

std::optional<framework::Deadline> UpstreamTable::restEnd(
    const std::vector<UpstreamPointer>& servers, SteadyTime now) const
{
    std::optional<framework::Deadline> first;
    for (const UpstreamPointer& server : servers) {
        if (!isResting(*server, now))
            return std::nullopt;
        const framework::Deadline until = notices_.restsUntil(server->facts.run());
        first = std::min(first.value_or(until), until);
    }
    return first;
}

std::vector<Endpoint> UpstreamTable::restingEngines(SteadyTime now) const
{
    std::vector<Endpoint> resting;
    for (const auto& [instance, record] : records_) {
        if (isResting(*record, now) && states_.contains(record->facts.endpoint))
            resting.push_back(record->facts.endpoint);
    }
    return resting;
}

bool UpstreamTable::takesRequests(const UpstreamRecord& record) const
{
    return !record.isReplaced && !isLeaving(record);
}

bool UpstreamTable::isInService(const UpstreamRecord& record) const
{
    const auto known = records_.find(record.facts.instance);
    return known != records_.end() && known->second.get() == &record && takesRequests(record);
}

std::vector<UpstreamPointer> UpstreamTable::ready(const framework::ServiceName& service) const
{
    std::vector<UpstreamPointer> found;
    const auto records = services_.find(service);
    if (records == services_.end())
        return found;
    for (const auto& [endpoint, record] : records->second.byEndpoint) {
        if (takesRequests(*record))
            found.push_back(record);
    }
    return found;
}

bool UpstreamTable::hasReady(const framework::ServiceName& service) const
{
    const auto records = services_.find(service);
    return records != services_.end()
        && std::any_of(records->second.byEndpoint.begin(), records->second.byEndpoint.end(),
            [this](const auto& entry) { return takesRequests(*entry.second); });
}

std::vector<UpstreamPointer> UpstreamTable::serving(
    const framework::ServiceName& service, const framework::ModelName& model) const
{
    std::vector<UpstreamPointer> found;
    const auto records = services_.find(service);
    if (records == services_.end())
        return found;
    for (const Endpoint& endpoint : records->second.replicas.loadedAt(model)) {
        const UpstreamPointer& record = records->second.byEndpoint.at(endpoint);
        if (takesRequests(*record))
            found.push_back(record);
    }
    return found;
}

const ReplicaIndex& UpstreamTable::replicas(const framework::ServiceName& service) const
{
    static const ReplicaIndex none;
    const auto records = services_.find(service);
    return records == services_.end() ? none : records->second.replicas;
}

const ReportedState* UpstreamTable::lastReport(const UpstreamRecord& record) const
{
    const auto found = states_.find(record.facts.endpoint);
    if (found == states_.end() || isOfFormerRun(found->second.state.started, record.facts))
        return nullptr;
    return &found->second;
}

const ReportedState* UpstreamTable::state(const UpstreamRecord& record, SteadyTime now) const
{
    const ReportedState* const reported = lastReport(record);
    return reported && now - reported->at <= stateTtl ? reported : nullptr;
}

bool UpstreamTable::hasLoaded(const UpstreamRecord& record, const catalog::ModelTarget& target, SteadyTime now) const
{
    if (!record.unreachableUntil.hasPassed(now))
        return false;
    const auto isThis
        = [&](const catalog::LoadedModel& held) { return held.model == target.model && held.has(target.adapter); };
    if (const ReportedState* const lastReport = state(record, now)) {
        const catalog::LoadedModel* const held = lastReport->state.find(target.model);
        return held && !lastReport->state.isDraining(target.model) && isThis(*held);
    }
    return std::any_of(record.facts.models.begin(), record.facts.models.end(), isThis);
}

/// Prevents a request from being sent to the same server until the retry budget is spent: the last report of its agent
/// may be up to a second older than the refusal.
void UpstreamTable::didReportNotLoaded(UpstreamRecord& record, const catalog::ModelTarget& target)
{
    removeTarget(record.facts.models, target);
    const auto reported = states_.find(record.facts.endpoint);
    if (reported != states_.end())
        removeTarget(reported->second.state.held, target);
    refreshReplicas(record);
}

bool UpstreamTable::isSuspect(const UpstreamRecord& record, SteadyTime now) const
{
    return policy_.suspectsServers && record.outlierDetector.isSuspect(now);
}

bool UpstreamTable::isSilent(const UpstreamRecord& record, SteadyTime now) const
{
    if (!policy_.leavesSilentEngines || !record.liveness.isSilent(now))
        return false;
    std::size_t servers = 0;
    std::size_t silent = 0;
    for (const auto& [instance, other] : records_) {
        if (other->facts.service != record.facts.service)
            continue;
        ++servers;
        silent += other->liveness.isSilent(now) ? 1 : 0;
    }
    return silent * 2 <= servers;
}

bool UpstreamTable::mayAnyBeSilent(SteadyTime now) const
{
    return std::any_of(
        records_.begin(), records_.end(), [now](const auto& entry) { return entry.second->liveness.isSilent(now); });
}

bool UpstreamTable::isPausing(const UpstreamRecord& record, SteadyTime now) const
{
    return policy_.leavesSilentEngines && record.liveness.isPausing(now);
}

std::vector<EngineFacts> UpstreamTable::engines(const framework::ServiceName& service, SteadyTime now) const
{
    std::vector<EngineFacts> facts;
    const auto records = services_.find(service);
    if (records == services_.end())
        return facts;
    for (const auto& [endpoint, reported] : states_) {
        const auto record = records->second.byEndpoint.find(endpoint);
        if (record == records->second.byEndpoint.end() || !takesRequests(*record->second)
            || !state(*record->second, now))
            continue;
        if (isSuspect(*record->second, now) || isSilent(*record->second, now))
            continue;
        facts.push_back({ endpoint, &reported.state, reported.at, record->second->inFlightByTarget });
    }
    std::sort(facts.begin(), facts.end(),
        [](const EngineFacts& left, const EngineFacts& right) { return left.engine < right.engine; });
    return facts;
}

void UpstreamTable::noteRouters()
{
    if (*routerCounts_.rbegin() > 0)
        lastKnownRouters_ = *routerCounts_.rbegin();
}

std::uint32_t UpstreamTable::routers() const
{
    const std::uint32_t maxRouters = routerCounts_.empty() ? 0 : *routerCounts_.rbegin();
    return maxRouters == 0 ? assumedRouters : maxRouters;
}

} // namespace lagoon::forwarding
