#include "direct/internal/agentlinks.h"

#include "direct/internal/enginewire.h"
#include "direct/internal/links.h"
#include "fairness/usewire.h"
#include "framework/decisionlog.h"
#include "framework/randomid.h"

#include <algorithm>
#include <utility>

namespace lagoon::direct {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::LogLine;
using framework::Milliseconds;
using PassOn = quarantine::EvidenceSharing::PassOn;

constexpr Milliseconds tickInterval { 250 };
/// Agents remove the demand of a router that is silent for three and a half seconds.
constexpr Milliseconds publishInterval { 900 };
/// Agents send at least one message per second.
constexpr Milliseconds linkIdleTimeout { 2400 };
/// Backoff before a lost link is opened again.
constexpr Milliseconds minBackoff { 100 };
constexpr Milliseconds maxBackoff { 2000 };
/// Maximum backoff for an agent that has never sent a message: there may be no agent.
constexpr Milliseconds maxBackoffWithoutContact { 8000 };

Endpoint agentEndpoint(const Endpoint& engine, std::uint16_t port)
{
    const std::string& text = engine.value();
    return Endpoint(text.substr(0, text.rfind(':') + 1) + std::to_string(port));
}

/// Digest of the values that an agent decides by; demand with an unchanged digest isn't published again. Work is
/// compared coarsely, since it decays all the time; the next regular message brings it up to date.
std::string digestOf(const catalog::DemandList& demand)
{
    std::string digest;
    for (const catalog::TargetDemand& one : demand) {
        digest += one.target.model.value() + '/' + one.target.adapter.value() + ':' + std::to_string(one.waiting) + ','
            + std::to_string(one.inFlight) + ',' + std::to_string(one.holders) + ','
            + (one.isPrefetch    ? 'p'
                    : one.isCopy ? 'c'
                                 : '-')
            + std::to_string(static_cast<int>(one.work * 20)) + ';';
    }
    return digest;
}

} // namespace

AgentLinks::Agent::Agent()
    : backoff(minBackoff, maxBackoffWithoutContact, framework::randomNumber())
{
}

AgentLinks::AgentLinks(Context context)
    : context_(std::move(context))
    , evidence_({ context_.control, context_.clock, [this](const wire::Message& message) { sendEvidence(message); } })
    , origins_({ context_.control, context_.clock, *context_.metrics,
          [this](const Endpoint& engine, const wire::Message& message) { agents_.at(engine).link->send(message); } })
    , permits_({ context_.control, context_.clock, *context_.metrics,
          [this](const Endpoint& engine, const wire::Message& message) { agents_.at(engine).link->send(message); },
          [this](const std::vector<ratelimits::LimitStatement>& limits) { context_.didReceiveLimits(limits); } })
    , quotas_({ context_.control, context_.clock, *context_.metrics, context_.router,
          [this](const Endpoint& engine, const wire::Message& message) { agents_.at(engine).link->send(message); } })
    , ticks_(context_.control, context_.clock, tickInterval, [this] { tick(); })
{
}

AgentLinks::~AgentLinks()
{
    for (auto& [engine, agent] : agents_) {
        if (agent.link)
            agent.link->close();
    }
}

void AgentLinks::setEngines(const std::vector<catalog::Upstream>& engines)
{
    engines_.clear();
    std::set<Endpoint> endpoints;
    for (const catalog::Upstream& engine : engines) {
        engines_[engine.endpoint] = { engine.instance, engine.failureDomain };
        endpoints.insert(engine.endpoint);
    }
    permits_.setEngines(std::move(endpoints));
    for (auto agent = agents_.begin(); agent != agents_.end();) {
        const auto listed = engines_.find(agent->first);
        if (listed == engines_.end()) {
            drop(agent->first, agent->second, "engine no longer listed");
            agent = agents_.erase(agent);
            continue;
        }
        const catalog::InstanceId& instance = listed->second.instance;
        if (std::exchange(agent->second.instance, instance) != instance)
            agent->second.publishedDigest.clear();
        ++agent;
    }
    if (!ticks_.isStarted())
        ticks_.start();
}

void AgentLinks::apply(const forwarding::LoadPlan& plan)
{
    std::set<Endpoint> subscriptions = plan.subscriptions;
    subscriptions.insert(plan.relays.begin(), plan.relays.end());
    unsubscribe(subscriptions);
    for (const Endpoint& engine : subscriptions)
        subscribe(engine);
    setRelays(plan.relays);
    setKeepers(plan.keepers);
    permits_.setCommonKeepers(plan.relays);
    quotas_.setKeepers(plan.quotaKeepers);
    for (const auto& [engine, list] : plan.demand) {
        const auto agent = agents_.find(engine);
        if (agent == agents_.end())
            continue;
        agent->second.demand = list;
        if (digestOf(list) != agent->second.publishedDigest)
            publish(agent->second);
    }
}

void AgentLinks::share(const quarantine::EvidenceUpdate& update) { evidence_.share(update); }

void AgentLinks::reportUse(const fairness::UseReport& report)
{
    const wire::Message message = fairness::toWire(report);
    for (const auto& [engine, agent] : agents_) {
        if (agent.isRelay && agent.sumsUse)
            agent.link->send(message);
    }
}

void AgentLinks::setRelays(const std::set<Endpoint>& relays)
{
    for (auto& [engine, agent] : agents_) {
        const bool wasRelay = std::exchange(agent.isRelay, relays.contains(engine));
        if (agent.isRelay && !wasRelay && agent.takesEvidence)
            sendEverything(agent);
    }
}

void AgentLinks::setKeepers(const std::set<Endpoint>& engines)
{
    std::vector<streams::Keeper> keepers;
    for (const Endpoint& engine : engines) {
        const auto listed = engines_.find(engine);
        if (listed != engines_.end())
            keepers.push_back({ engine, listed->second.failureDomain });
    }
    origins_.setKeepers(keepers);
}

void AgentLinks::sendEverything(Agent& agent)
{
    for (const wire::Message& message : evidence_.everything())
        agent.link->send(message);
}

/// Passes evidence on only if it came from an agent that isn't a relay: all others have what came from the relays.
void AgentLinks::receiveEvidence(const Agent& from, const wire::fb::CrashEvidenceT& body)
{
    const quarantine::EvidenceUpdate news = evidence_.receive(body, from.isRelay ? PassOn::No : PassOn::Yes);
    if (!news.isEmpty())
        context_.didReceiveEvidence(news);
}

void AgentLinks::sendEvidence(const wire::Message& message)
{
    for (const auto& [engine, agent] : agents_) {
        if (agent.isRelay && agent.takesEvidence)
            agent.link->send(message);
    }
}

void AgentLinks::subscribe(const Endpoint& engine)
{
    const auto listed = engines_.find(engine);
    if (listed == engines_.end())
        return;
    const auto [agent, isNew] = agents_.try_emplace(engine);
    if (!isNew)
        return;
    agent->second.instance = listed->second.instance;
    connect(engine, agent->second);
}

void AgentLinks::unsubscribe(const std::set<Endpoint>& kept)
{
    for (auto agent = agents_.begin(); agent != agents_.end();) {
        if (kept.contains(agent->first)) {
            ++agent;
            continue;
        }
        if (agent->second.link)
            agent->second.link->close();
        didLoseAbilities(agent->first, agent->second);
        if (agent->second.hasReceived) {
            logDecision(LogLine("agent_unsubscribed").text("engine", agent->first.value()));
            context_.didUnsubscribe(agent->first);
        }
        agent = agents_.erase(agent);
    }
}

void AgentLinks::tick()
{
    const framework::SteadyTime now = context_.clock.now();
    for (auto& [engine, agent] : agents_) {
        if (agent.link && now - agent.receivedAt > linkIdleTimeout)
            drop(engine, agent, "silent");
        if (!agent.link && agent.connectAt.hasPassed(now))
            connect(engine, agent);
        else if (agent.link && now - agent.publishedAt > publishInterval)
            publish(agent);
    }
    noteRouters();
}

void AgentLinks::noteRouters()
{
    std::uint32_t routers = 0;
    for (const auto& [engine, agent] : agents_)
        routers = std::max(routers, agent.link ? agent.routers : 0);
    quotas_.setRouters(routers);
}

void AgentLinks::connect(const Endpoint& engine, Agent& agent)
{
    LinkEvents events;
    events.didReceive
        = [this, engine](const auto& link, const wire::Message& message) { didReceive(engine, link, message); };
    events.didClose
        = [this, engine](const auto& link, const framework::Error& error) { didClose(engine, link, error); };
    auto handlers = onControlThread(context_.control, alive_, std::move(events));
    agent.link = context_.transport.connect(agentEndpoint(engine, context_.agentPort), std::move(handlers));
    agent.hasReceived = false;
    // Counts as a received message, so that the new link has time to be established before it counts as silent.
    agent.receivedAt = context_.clock.now();
    publish(agent);
}

void AgentLinks::drop(const Endpoint& engine, Agent& agent, const std::string& cause)
{
    if (!agent.link)
        return;
    std::exchange(agent.link, nullptr)->close();
    didLoseAbilities(engine, agent);
    if (std::exchange(agent.hasReceived, false))
        logDecision(LogLine("agent_lost").text("engine", engine.value()).text("cause", cause));
    context_.didLoseAgent(engine);
    const Milliseconds pause
        = std::min(agent.backoff.next(), agent.hasEverReceived ? maxBackoff : maxBackoffWithoutContact);
    agent.connectAt = Deadline::after(context_.clock.now(), pause);
}

void AgentLinks::didLoseAbilities(const Endpoint& engine, Agent& agent)
{
    agent.takesEvidence = false;
    agent.sumsUse = false;
    if (std::exchange(agent.keepsOrigins, false))
        origins_.didClose(engine);
    if (std::exchange(agent.grantsPermits, false))
        permits_.didClose(engine);
    if (std::exchange(agent.keepsQuotas, false))
        quotas_.didClose(engine);
}

void AgentLinks::publish(Agent& agent)
{
    if (!agent.link)
        return;
    agent.publishedAt = context_.clock.now();
    agent.publishedDigest = digestOf(agent.demand);
    agent.link->send(toWire(context_.router, agent.instance, agent.demand, agent.publishedAt));
}

void AgentLinks::didReceive(
    const Endpoint& engine, const std::shared_ptr<wire::ILink>& link, const wire::Message& message)
{
    const auto agent = agents_.find(engine);
    if (agent == agents_.end() || agent->second.link != link)
        return;
    agent->second.receivedAt = context_.clock.now();
    agent->second.backoff.reset();
    agent->second.hasEverReceived = true;
    if (!std::exchange(agent->second.hasReceived, true))
        logDecision(LogLine("agent_heard").text("engine", engine.value()));
    if (const wire::fb::EngineLoadT* const load = message.body.AsEngineLoad()) {
        agent->second.routers = load->routers;
        return context_.didReceiveLoad(fromWire(engine, *load));
    }
    if (const wire::fb::CrashEvidenceT* const evidence = message.body.AsCrashEvidence())
        return receiveEvidence(agent->second, *evidence);
    if (const wire::fb::StreamOriginsT* const origins = message.body.AsStreamOrigins())
        return origins_.receive(engine, *origins);
    if (const wire::fb::ServerPermitsT* const permits = message.body.AsServerPermits())
        return permits_.receive(engine, *permits);
    if (const wire::fb::CustomerQuotasT* const quotas = message.body.AsCustomerQuotas())
        return quotas_.receive(engine, *quotas);
    if (const wire::fb::CustomerUseT* const use = message.body.AsCustomerUse())
        return context_.didReceiveUse(fairness::fromWire(*use));
    if (const wire::fb::EngineStateT* const state = message.body.AsEngineState())
        didReceiveState(engine, agent->second, *state);
}

void AgentLinks::didReceiveState(const Endpoint& engine, Agent& agent, const wire::fb::EngineStateT& state)
{
    const bool tookEvidence = std::exchange(agent.takesEvidence, state.takes_evidence);
    if (agent.takesEvidence && !tookEvidence && agent.isRelay)
        sendEverything(agent);
    if (state.keeps_origins && !std::exchange(agent.keepsOrigins, true))
        origins_.didOpen(engine);
    if (state.grants_permits && !std::exchange(agent.grantsPermits, true))
        permits_.didOpen(engine);
    agent.routers = state.routers;
    agent.sumsUse = state.sums_use;
    if (state.keeps_quotas && !std::exchange(agent.keepsQuotas, true))
        quotas_.didOpen(engine);
    catalog::EngineState received = fromWire(state);
    // The link determines the engine, regardless of the endpoint in the frame.
    received.engine = engine;
    context_.didReceiveState(std::move(received));
}

void AgentLinks::didClose(
    const Endpoint& engine, const std::shared_ptr<wire::ILink>& link, const framework::Error& error)
{
    const auto agent = agents_.find(engine);
    if (agent != agents_.end() && agent->second.link == link)
        drop(engine, agent->second, describe(error));
}

} // namespace lagoon::direct
