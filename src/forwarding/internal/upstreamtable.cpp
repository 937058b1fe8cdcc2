#include "forwarding/internal/upstreamtable.h"

#include <algorithm>
#include <set>

namespace lagoon::forwarding {

namespace {

using catalog::Upstream;
using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;

/// An agent speaks each second; one that has missed two is not to be relied on.
constexpr Milliseconds stateHolds { 2500 };
/// An engine that is there after all is heard of again within a second.
constexpr Milliseconds lostFor { 1500 };
/// An agent that is back is subscribed to again after this at the latest.
constexpr Milliseconds agentlessFor { 10000 };
/// Assumed while no agent has said how many there are: a part that is too small for a moment does less harm than one
/// that is too large.
constexpr std::uint32_t assumedRouters = 32;
/// Connections to a server that a router may open in any case.
constexpr std::size_t fewestConnections = 4;
/// Part of a server's connections that all routers together use: some are still closing when others open.
constexpr double shareOfConnections = 0.85;
/// Prompt tokens of which it is assumed that an engine keeps them, until its agent has told its memory.
const catalog::Tokens assumedPromptRoom(100000);

bool takesRequests(const UpstreamRecord& record)
{
    return record.facts.state == catalog::UpstreamState::Ready && !record.isGone;
}

/// Guards against going by a former run, of which nothing holds: the list may lag behind an agent, and an agent's word
/// may have been on its way when the list was read.
bool isOfFormerRun(const std::optional<catalog::StartTime>& said, const Upstream& known)
{
    return said && known.started && *said < *known.started;
}

void removeTarget(std::vector<catalog::HeldModel>& held, const catalog::ModelTarget& target)
{
    if (target.adapter.value().empty()) {
        std::erase_if(held, [&](const catalog::HeldModel& model) { return model.model == target.model; });
        return;
    }
    for (catalog::HeldModel& model : held) {
        if (model.model == target.model)
            std::erase(model.adapters, target.adapter);
    }
}

/// Whether what is known of the server holds for this description of it too.
bool isSameServer(const Upstream& known, const Upstream& listed)
{
    return known.endpoint == listed.endpoint && known.started >= listed.started;
}

} // namespace

UpstreamRecord::UpstreamRecord(boost::asio::io_context& context, const Upstream& upstream)
    : facts(upstream)
    , connections(context, upstream.endpoint, http::ClientOptions {}, fewestConnections)
    , prompts(assumedPromptRoom)
{
}

void UpstreamTable::setUpstreams(const std::vector<Upstream>& upstreams)
{
    std::set<catalog::InstanceId> listed;
    for (const Upstream& upstream : upstreams) {
        listed.insert(upstream.instance);
        put(upstream);
    }
    std::erase_if(records_, [&](const auto& entry) {
        if (listed.contains(entry.first))
            return false;
        removeFromIndex(entry.second);
        return true;
    });
    limitConnections();
}

std::optional<Milliseconds> UpstreamTable::listAge(SteadyTime now) const
{
    if (!listConfirmedAt_)
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(now - *listConfirmedAt_);
}

void UpstreamTable::put(const Upstream& upstream)
{
    UpstreamPointer& record = records_[upstream.instance];
    if (!record || !isSameServer(record->facts, upstream)) {
        if (record)
            removeFromIndex(record);
        record = std::make_shared<UpstreamRecord>(context_, upstream);
        return addToIndex(record);
    }
    if (record->facts.service != upstream.service)
        removeFromIndex(record);
    const auto started = record->facts.started;
    const bool isLagging = isOfFormerRun(upstream.started, record->facts);
    record->facts = upstream;
    record->facts.started = started;
    if (isLagging)
        record->facts.models.clear();
    addToIndex(record);
}

void UpstreamTable::addToIndex(const UpstreamPointer& record)
{
    ServiceRecords& records = services_[record->facts.service];
    records.byEndpoint[record->facts.endpoint] = record;
    refreshReplicas(*record);
}

void UpstreamTable::removeFromIndex(const UpstreamPointer& record)
{
    ServiceRecords& records = services_[record->facts.service];
    const auto indexed = records.byEndpoint.find(record->facts.endpoint);
    if (indexed == records.byEndpoint.end() || indexed->second != record)
        return;
    records.byEndpoint.erase(indexed);
    agentless_.erase(record->facts.endpoint);
    records.replicas.remove(record->facts.endpoint);
}

/// A record that its last requests keep alive isn't in the index any more.
void UpstreamTable::refreshReplicas(const UpstreamRecord& record)
{
    ServiceRecords& records = services_[record.facts.service];
    const auto indexed = records.byEndpoint.find(record.facts.endpoint);
    if (indexed != records.byEndpoint.end() && indexed->second.get() == &record)
        records.replicas.set(record.facts.endpoint, contentsOf(record));
}

ReplicaIndex::Contents UpstreamTable::contentsOf(const UpstreamRecord& record) const
{
    const HeardState* const said = heard(record);
    const std::vector<catalog::HeldModel>& held = said ? said->state.held : record.facts.models;
    const catalog::AtHand& cached = said ? said->state.atHand : record.facts.atHand;
    const bool servesNothing
        = record.facts.state != catalog::UpstreamState::Ready || lost_.contains(record.facts.endpoint);
    ReplicaIndex::Contents contents;
    for (const catalog::HeldModel& model : held) {
        const bool isServed = !servesNothing && !(said && said->state.isLeaving(model.model));
        (isServed ? contents.loaded : contents.cached).push_back(model.model);
    }
    if (said && !said->state.loading.value().empty())
        contents.cached.push_back(said->state.loading);
    contents.cached.insert(contents.cached.end(), cached.memory.begin(), cached.memory.end());
    contents.cached.insert(contents.cached.end(), cached.disk.begin(), cached.disk.end());
    return contents;
}

void UpstreamTable::setConfiguration(catalog::ConfigurationPointer configuration)
{
    configuration_ = std::move(configuration);
    limitConnections();
}

/// Guards against resets by a server whose connections are all taken: callers share them without talking.
void UpstreamTable::limitConnections()
{
    if (!configuration_)
        return;
    for (const auto& [instance, record] : records_) {
        const catalog::Service* const service = configuration_->find(record->facts.service);
        if (!service)
            continue;
        const auto share = static_cast<std::size_t>(shareOfConnections * service->mostConnections / routers());
        record->connections.setMaxConnections(std::max(fewestConnections, share));
    }
}

void UpstreamTable::setState(catalog::EngineState state, SteadyTime now)
{
    const std::uint32_t before = routers();
    const Endpoint engine = state.engine;
    const bool isNewRun = noteStart(state);
    eraseState(engine);
    routerCounts_.insert(state.routers);
    states_[engine] = { std::move(state), now };
    lost_.erase(engine);
    agentless_.erase(engine);
    if (const UpstreamPointer record = find(engine)) {
        didHear(*record, now);
        refreshReplicas(*record);
    }
    if (isNewRun || routers() != before)
        limitConnections();
}

void UpstreamTable::setLoad(const catalog::EngineLoad& load, SteadyTime now)
{
    const auto known = states_.find(load.engine);
    if (known == states_.end())
        return;
    const std::uint32_t before = routers();
    const std::uint32_t saidBefore = known->second.state.routers;
    if (!catalog::applyLoad(known->second.state, load))
        return;
    known->second.at = now;
    routerCounts_.erase(routerCounts_.find(saidBefore));
    routerCounts_.insert(load.routers);
    if (const UpstreamPointer record = find(load.engine))
        didHear(*record, now);
    if (routers() != before)
        limitConnections();
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

void UpstreamTable::didHear(UpstreamRecord& record, SteadyTime now)
{
    record.liveness.didHear(now, record.inFlight);
    record.lostUntil = framework::Deadline();
}

void UpstreamTable::didLose(UpstreamRecord& record, SteadyTime now)
{
    record.lostUntil = framework::Deadline::after(now, lostFor);
    lost_.insert(record.facts.endpoint);
    forgetState(record.facts.endpoint);
    refreshReplicas(record);
}

void UpstreamTable::forgetLosses(SteadyTime now)
{
    std::erase_if(agentless_, [now](const auto& entry) { return entry.second.hasPassed(now); });
    for (auto lost = lost_.begin(); lost != lost_.end();) {
        const UpstreamPointer record = find(*lost);
        if (record && !record->lostUntil.hasPassed(now)) {
            ++lost;
            continue;
        }
        lost = lost_.erase(lost);
        if (record)
            refreshReplicas(*record);
    }
}

/// An agent sees its engine start again before the list shows it: until then, prompts that are no longer there would
/// draw requests, and what was sent over an idle connection of the former run would be lost.
bool UpstreamTable::noteStart(const catalog::EngineState& state)
{
    const UpstreamPointer known = find(state.engine);
    if (!known || known->facts.started >= state.started)
        return false;
    Upstream facts = known->facts;
    facts.started = state.started;
    facts.models.clear();
    removeFromIndex(known);
    UpstreamPointer& record = records_[facts.instance];
    record = std::make_shared<UpstreamRecord>(context_, facts);
    addToIndex(record);
    return true;
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
    agentless_[engine] = framework::Deadline::after(now, agentlessFor);
    forgetState(engine);
}

std::set<Endpoint> UpstreamTable::enginesWithoutAgent() const
{
    std::set<Endpoint> engines;
    for (const auto& [engine, until] : agentless_)
        engines.insert(engine);
    return engines;
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
            [](const auto& entry) { return takesRequests(*entry.second); });
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

const HeardState* UpstreamTable::heard(const UpstreamRecord& record) const
{
    const auto found = states_.find(record.facts.endpoint);
    if (found == states_.end() || isOfFormerRun(found->second.state.started, record.facts))
        return nullptr;
    return &found->second;
}

const HeardState* UpstreamTable::state(const UpstreamRecord& record, SteadyTime now) const
{
    const HeardState* const said = heard(record);
    return said && now - said->at <= stateHolds ? said : nullptr;
}

bool UpstreamTable::holds(const UpstreamRecord& record, const catalog::ModelTarget& target, SteadyTime now) const
{
    if (!record.lostUntil.hasPassed(now))
        return false;
    const auto isThis
        = [&](const catalog::HeldModel& held) { return held.model == target.model && held.has(target.adapter); };
    if (const HeardState* const heard = state(record, now)) {
        const catalog::HeldModel* const held = heard->state.find(target.model);
        return held && !heard->state.isLeaving(target.model) && isThis(*held);
    }
    return std::any_of(record.facts.models.begin(), record.facts.models.end(), isThis);
}

/// Guards against sending a request to the same server until its repeats are spent: what its agent said last may be
/// older than the refusal by up to a second.
void UpstreamTable::didLack(UpstreamRecord& record, const catalog::ModelTarget& target)
{
    removeTarget(record.facts.models, target);
    const auto said = states_.find(record.facts.endpoint);
    if (said != states_.end())
        removeTarget(said->second.state.held, target);
    refreshReplicas(record);
}

bool UpstreamTable::isSuspect(const UpstreamRecord& record, SteadyTime now) const
{
    return policy_.suspectsServers && record.suspicion.isSuspect(now);
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

bool UpstreamTable::mayHaveSilent(SteadyTime now) const
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
    for (const auto& [endpoint, said] : states_) {
        const auto record = records->second.byEndpoint.find(endpoint);
        if (record == records->second.byEndpoint.end() || !takesRequests(*record->second)
            || !state(*record->second, now))
            continue;
        if (isSuspect(*record->second, now) || isSilent(*record->second, now))
            continue;
        facts.push_back({ endpoint, &said.state, said.at, record->second->inFlightByTarget });
    }
    std::sort(facts.begin(), facts.end(),
        [](const EngineFacts& left, const EngineFacts& right) { return left.engine < right.engine; });
    return facts;
}

std::uint32_t UpstreamTable::routers() const
{
    const std::uint32_t most = routerCounts_.empty() ? 0 : *routerCounts_.rbegin();
    return most == 0 ? assumedRouters : most;
}

} // namespace lagoon::forwarding
