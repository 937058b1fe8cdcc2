#include "forwarding/internal/loadrequests.h"

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

/// Until some requests have been served.
constexpr Milliseconds assumedRunTime { 500 };
/// Part of the shared parts of a prompt that an engine reads anew, on average.
constexpr double readAnew = 0.25;

/// Reading a prompt holds up all others there. Writing an answer takes a slot, which is counted while it is taken.
Milliseconds readingTime(const RequestFacts& facts)
{
    const std::uint64_t own = facts.prompt.empty() ? facts.promptTokens.value() : facts.prompt.back().tokens;
    const auto shared = static_cast<double>(facts.promptTokens.value() - std::min(own, facts.promptTokens.value()));
    return Milliseconds(std::llround((static_cast<double>(own) + readAnew * shared) / promptTokensPerMillisecond));
}

} // namespace

LoadRequests::LoadRequests(const UpstreamTable& upstreams, Publish publish, SteadyTime startedAt)
    : upstreams_(upstreams)
    , publish_(std::move(publish))
    , demand_(startedAt)
    , runTime_(assumedRunTime)
{
}

void LoadRequests::didArrive(const ServiceName& service, const RequestFacts& facts, SteadyTime now)
{
    if (facts.model.value().empty())
        return;
    demand_.didArrive(facts.model, readingTime(facts), now);
    comingBack_.didArrive(service, facts.model);
}

void LoadRequests::keepFor(const ServiceName& service, const WaitingFor& waiting, framework::Deadline leavesBy)
{
    comingBack_.didRefuse(service, waiting, leavesBy);
}

std::optional<Milliseconds> LoadRequests::soonest(const ServiceName& service, const std::vector<EngineFacts>& engines,
    const WaitingFor& waiting, SteadyTime now) const
{
    const auto planner = planners_.find(service);
    // Before the first plan it is what the agents say.
    return planner == planners_.end() ? WantedPlanner().soonest(engines, waiting, now)
                                      : planner->second.soonest(engines, waiting, now);
}

void LoadRequests::plan(const catalog::Configuration& configuration, const Waiting& waiting,
    const policy::PolicySwitches& policy, SteadyTime now)
{
    comingBack_.forgetLeft(now);
    demand_.forgetOld(now);
    LoadPlan all;
    for (const catalog::Service& service : configuration.services) {
        if (!service.engine)
            continue;
        LoadPlan plan = planFor(service, waiting(service.name), policy, now);
        all.demand.merge(plan.demand);
        all.subscriptions.merge(plan.subscriptions);
    }
    publish_(all);
}

LoadPlan LoadRequests::planFor(const catalog::Service& service, const std::vector<WaitingFor>& requests,
    const policy::PolicySwitches& policy, SteadyTime now)
{
    forgetServed(service.name, now);
    PlannerInput input { *service.engine, upstreams_.replicas(service.name), upstreams_.engines(service.name, now),
        byTarget(service.name, requests), {}, demand_.isKnown(now), now, runTime_.mean(), policy,
        upstreams_.enginesWithoutAgent() };
    input.work = occupancies(input.engines, service.engine->slots);
    for (const auto& [model, reading] : demand_.recent(now))
        input.work[model] += reading;
    LoadPlan plan = planners_[service.name].plan(input);
    logNew(service.name, plan.demand, input.engines.size());
    return plan;
}

bool LoadRequests::hasLoader(const ServiceName& service, const framework::ModelName& model) const
{
    const auto planner = planners_.find(service);
    return planner != planners_.end() && planner->second.hasLoader(model);
}

/// Guards against a second load, elsewhere, of a model that is there by now for those who come back.
void LoadRequests::forgetServed(const ServiceName& service, SteadyTime now)
{
    for (const WaitingFor& back : comingBack_.expected(service)) {
        const auto holdsIt = [&](const UpstreamPointer& engine) { return upstreams_.holds(*engine, back.target, now); };
        const std::vector<UpstreamPointer> serving = upstreams_.serving(service, back.target.model);
        if (std::any_of(serving.begin(), serving.end(), holdsIt))
            comingBack_.forget(service, back.target.model);
    }
}

std::vector<WaitingFor> LoadRequests::byTarget(
    const ServiceName& service, const std::vector<WaitingFor>& requests) const
{
    std::map<std::pair<catalog::ModelTarget, Endpoint>, WaitingFor> merged;
    for (const WaitingFor& request : requests) {
        const auto [entry, isNew] = merged.try_emplace({ request.target, request.at }, request);
        if (isNew)
            continue;
        ++entry->second.waiting;
        entry->second.earliest = std::min(entry->second.earliest, request.earliest);
        entry->second.since = std::min(entry->second.since, request.since);
        entry->second.priority = std::max(entry->second.priority, request.priority);
    }
    for (const WaitingFor& back : comingBack_.expected(service)) {
        const auto [entry, isNew] = merged.try_emplace({ back.target, {} }, back);
        if (isNew)
            continue;
        entry->second.waiting += back.waiting;
        entry->second.since = std::min(entry->second.since, back.since);
    }
    std::vector<WaitingFor> all;
    for (auto& [target, waiting] : merged)
        all.push_back(std::move(waiting));
    return all;
}

/// One line for each load that this router begins to ask for.
void LoadRequests::logNew(
    const ServiceName& service, const std::map<Endpoint, catalog::DemandList>& plan, std::size_t agents)
{
    Asked asked;
    for (const auto& [engine, list] : plan) {
        for (const catalog::TargetDemand& demand : list) {
            if (!demand.isLoad())
                continue;
            asked.insert({ engine, demand.target });
            if (asked_[service].contains({ engine, demand.target }))
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
    asked_[service] = std::move(asked);
}

} // namespace lagoon::forwarding
