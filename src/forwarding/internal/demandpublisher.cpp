#include "forwarding/internal/demandpublisher.h"

#include "forwarding/enginespeed.h"
#include "forwarding/internal/enginefacts.h"
#include "framework/decisionlog.h"

#include <algorithm>
#include <cmath>

namespace lagoon::forwarding {

namespace {

using framework::Endpoint;
using framework::LogLine;
using framework::Milliseconds;
using framework::ServiceName;
using framework::SteadyTime;

/// Assumed until some requests have been served.
constexpr Milliseconds assumedRunTime { 500 };
/// The fraction of a prompt's shared parts that an engine processes again, on average.
constexpr double recomputedShare = 0.25;

/// Returns the time that an engine takes to process the prompt, which blocks all other requests there. Generating the
/// answer only takes a slot, which is counted while it is in use.
Milliseconds prefillTime(const RequestFacts& facts)
{
    const std::uint64_t own = facts.prompt.empty() ? facts.promptTokens.value() : facts.prompt.back().tokens;
    const auto shared = static_cast<double>(facts.promptTokens.value() - std::min(own, facts.promptTokens.value()));
    return Milliseconds(
        std::llround((static_cast<double>(own) + recomputedShare * shared) / promptTokensPerMillisecond));
}

} // namespace

DemandPublisher::DemandPublisher(const UpstreamTable& upstreams, Publish publish, SteadyTime startedAt)
    : upstreams_(upstreams)
    , publish_(std::move(publish))
    , demand_(startedAt)
    , runTime_(assumedRunTime)
{
}

void DemandPublisher::didArrive(const ServiceName& service, const RequestFacts& facts, SteadyTime now)
{
    if (!isConfigured(service, facts.model))
        return;
    demand_.didArrive(facts.model, prefillTime(facts), now);
    expectedRetries_.didArrive(service, facts.model);
}

void DemandPublisher::expectRetry(
    const ServiceName& service, const WaitingRequests& waiting, framework::Deadline callerDeadline)
{
    if (isConfigured(service, waiting.target.model))
        expectedRetries_.didRefuse(service, waiting, callerDeadline);
}

bool DemandPublisher::isConfigured(const ServiceName& service, const framework::ModelName& model) const
{
    const catalog::Service* const known = configuration_ ? configuration_->find(service) : nullptr;
    return known && known->engine && known->engine->find(model);
}

std::optional<Milliseconds> DemandPublisher::timeUntilLoaded(const ServiceName& service,
    const std::vector<EngineFacts>& engines, const WaitingRequests& waiting, SteadyTime now) const
{
    const auto planner = planners_.find(service);
    // Before the first plan only the agents' reports are known.
    return planner == planners_.end() ? DemandPlanner().timeUntilLoaded(engines, waiting, now)
                                      : planner->second.timeUntilLoaded(engines, waiting, now);
}

void DemandPublisher::plan(const catalog::Configuration& configuration, const ListWaitingRequests& waiting,
    EngineLimits limits, const policy::PolicySwitches& policy, SteadyTime now)
{
    limits_ = std::move(limits);
    expectedRetries_.dropExpired(now);
    demand_.forgetOld(now);
    LoadPlan all;
    for (const catalog::Service& service : configuration.services) {
        if (!service.engine)
            continue;
        const bool hasQuotas = configuration.customers && configuration.customers->hasQuotas();
        LoadPlan plan = planFor(service, waiting(service.name), policy, hasQuotas, now);
        all.demand.merge(plan.demand);
        all.subscriptions.merge(plan.subscriptions);
        all.relays.merge(plan.relays);
        all.keepers.merge(plan.keepers);
        all.quotaKeepers.merge(plan.quotaKeepers);
    }
    publish_(all);
}

LoadPlan DemandPublisher::planFor(const catalog::Service& service, const std::vector<WaitingRequests>& requests,
    const policy::PolicySwitches& policy, bool hasQuotas, SteadyTime now)
{
    forgetLoaded(service.name, now);
    PlannerInput input { *service.engine, upstreams_.replicas(service.name), upstreams_.engines(service.name, now),
        byTarget(service.name, requests), {}, demand_.isKnown(now), now, runTime_.mean(), policy,
        upstreams_.enginesWithoutAgent(), limits_, demand_.workPerRequest() };
    input.work = occupancies(input.engines, service.engine->slots);
    for (const auto& [model, prefill] : demand_.recent(now))
        input.work[model] += prefill;
    input.hasQuotas = hasQuotas;
    LoadPlan plan = planners_[service.name].plan(input);
    logNewLoads(service.name, plan.demand, input.engines.size());
    return plan;
}

bool DemandPublisher::hasLoader(const ServiceName& service, const framework::ModelName& model) const
{
    const auto planner = planners_.find(service);
    return planner != planners_.end() && planner->second.hasLoader(model);
}

/// Prevents a model that has been loaded meanwhile from being loaded a second time on another engine for callers that
/// are expected to retry.
void DemandPublisher::forgetLoaded(const ServiceName& service, SteadyTime now)
{
    for (const WaitingRequests& expectedRetry : expectedRetries_.expected(service)) {
        const auto hasLoadedIt
            = [&](const UpstreamPointer& engine) { return upstreams_.hasLoaded(*engine, expectedRetry.target, now); };
        const std::vector<UpstreamPointer> serving = upstreams_.serving(service, expectedRetry.target.model);
        if (std::any_of(serving.begin(), serving.end(), hasLoadedIt))
            expectedRetries_.forget(service, expectedRetry.target.model);
    }
}

std::vector<WaitingRequests> DemandPublisher::byTarget(
    const ServiceName& service, const std::vector<WaitingRequests>& requests) const
{
    std::map<std::pair<catalog::ModelTarget, Endpoint>, WaitingRequests> merged;
    for (const WaitingRequests& request : requests) {
        const auto [entry, isNew] = merged.try_emplace({ request.target, request.at }, request);
        if (isNew)
            continue;
        ++entry->second.waiting;
        entry->second.earliest = std::min(entry->second.earliest, request.earliest);
        entry->second.since = std::min(entry->second.since, request.since);
        entry->second.priority = std::max(entry->second.priority, request.priority);
    }
    for (const WaitingRequests& expectedRetry : expectedRetries_.expected(service)) {
        const auto [entry, isNew] = merged.try_emplace({ expectedRetry.target, {} }, expectedRetry);
        if (isNew)
            continue;
        entry->second.waiting += expectedRetry.waiting;
        entry->second.since = std::min(entry->second.since, expectedRetry.since);
    }
    std::vector<WaitingRequests> all;
    for (auto& [target, waiting] : merged)
        all.push_back(std::move(waiting));
    return all;
}

/// Logs one line for each load that this router begins to request.
void DemandPublisher::logNewLoads(
    const ServiceName& service, const std::map<Endpoint, catalog::DemandList>& plan, std::size_t agents)
{
    RequestedLoads requested;
    for (const auto& [engine, list] : plan) {
        for (const catalog::TargetDemand& demand : list) {
            if (!demand.isLoad())
                continue;
            requested.insert({ engine, demand.target });
            if (requestedLoads_[service].contains({ engine, demand.target }))
                continue;
            logDecision(LogLine("asked_to_load")
                            .text("engine", engine.value())
                            .text("model", demand.target.model.value())
                            .text("adapter", demand.target.adapter.value())
                            .number("waiting", demand.waiting)
                            .flag("prefetch", demand.isPrefetch)
                            .number("holders", demand.holders)
                            .number("work", demand.work)
                            .number("rank", demand.rank)
                            .number("agents", agents));
        }
    }
    requestedLoads_[service] = std::move(requested);
}

} // namespace lagoon::forwarding
