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
/// Assumed while no agent has said how many there are: a part that is too small for a moment does less harm than one
/// that is too large.
constexpr std::uint32_t assumedRouters = 32;
/// Connections to a server that a router may open in any case.
constexpr std::size_t fewestConnections = 4;
/// Part of a server's connections that all routers together use: some are still closing when others open.
constexpr double shareOfConnections = 0.85;
/// Prompt tokens of which it is assumed that an engine keeps them, until its agent has told its memory.
const catalog::Tokens assumedPromptRoom(100000);

bool takesRequests(const UpstreamRecord& record, const framework::ServiceName& service)
{
    return record.facts.service == service && record.facts.state == catalog::UpstreamState::Ready && !record.isGone;
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
        UpstreamPointer& record = records_[upstream.instance];
        if (!record || !isSameServer(record->facts, upstream)) {
            record = std::make_shared<UpstreamRecord>(context_, upstream);
            continue;
        }
        const auto started = record->facts.started;
        const bool isLagging = isOfFormerRun(upstream.started, record->facts);
        record->facts = upstream;
        record->facts.started = started;
        if (isLagging)
            record->facts.models.clear();
    }
    std::erase_if(records_, [&](const auto& entry) { return !listed.contains(entry.first); });
    limitConnections();
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
        record->connections.setMost(std::max(fewestConnections, share));
    }
}

void UpstreamTable::setState(catalog::EngineState state, SteadyTime now)
{
    const std::uint32_t before = routers();
    const Endpoint engine = state.engine;
    const bool isNewRun = noteStart(state);
    for (const auto& [instance, record] : records_) {
        if (record->facts.endpoint == engine)
            didHear(*record, now);
    }
    states_[engine] = { std::move(state), now };
    if (isNewRun || routers() != before)
        limitConnections();
}

void UpstreamTable::didHear(UpstreamRecord& record, SteadyTime now)
{
    record.liveness.didHear(now, record.inFlight);
    record.lostUntil = framework::Deadline();
}

void UpstreamTable::didLose(UpstreamRecord& record, SteadyTime now)
{
    record.lostUntil = framework::Deadline::after(now, lostFor);
    states_.erase(record.facts.endpoint);
}

/// An agent sees its engine start again before the list shows it: until then, prompts that are no longer there would
/// draw requests, and what was sent over an idle connection of the former run would be lost.
bool UpstreamTable::noteStart(const catalog::EngineState& state)
{
    bool isNewRun = false;
    for (auto& [instance, record] : records_) {
        if (record->facts.endpoint != state.engine || record->facts.started >= state.started)
            continue;
        Upstream facts = record->facts;
        facts.started = state.started;
        facts.models.clear();
        record = std::make_shared<UpstreamRecord>(context_, facts);
        isNewRun = true;
    }
    return isNewRun;
}

void UpstreamTable::forgetState(const Endpoint& engine) { states_.erase(engine); }

std::vector<UpstreamPointer> UpstreamTable::ready(const framework::ServiceName& service) const
{
    std::vector<UpstreamPointer> found;
    for (const auto& [instance, record] : records_) {
        if (takesRequests(*record, service))
            found.push_back(record);
    }
    return found;
}

const HeardState* UpstreamTable::state(const UpstreamRecord& record, SteadyTime now) const
{
    const auto found = states_.find(record.facts.endpoint);
    if (found == states_.end() || now - found->second.at > stateHolds
        || isOfFormerRun(found->second.state.started, record.facts))
        return nullptr;
    return &found->second;
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
    const auto heard = states_.find(record.facts.endpoint);
    if (heard != states_.end())
        removeTarget(heard->second.state.held, target);
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
    for (const auto& [instance, record] : records_) {
        if (!takesRequests(*record, service))
            continue;
        const HeardState* const heard = state(*record, now);
        if (!heard || isSuspect(*record, now) || isSilent(*record, now))
            continue;
        facts.push_back({ record->facts.endpoint, &heard->state, heard->at, record->inFlightByTarget });
    }
    return facts;
}

std::uint32_t UpstreamTable::routers() const
{
    std::uint32_t most = 0;
    for (const auto& [endpoint, heard] : states_)
        most = std::max(most, heard.state.routers);
    return most == 0 ? assumedRouters : most;
}

} // namespace lagoon::forwarding
