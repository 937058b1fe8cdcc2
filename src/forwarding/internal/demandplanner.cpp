#include "forwarding/demandplanner.h"

#include "catalog/modelweights.h"
#include "forwarding/internal/enginefacts.h"
#include "forwarding/internal/evictioncost.h"
#include "policy/modelcopies.h"
#include "policy/policysetup.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace lagoon::forwarding {

namespace {

using catalog::EngineState;
using catalog::ModelProfile;
using catalog::TargetDemand;
using framework::Endpoint;
using framework::Milliseconds;
using framework::ModelName;

/// The value of keeping one rare model loaded, in load time: the next callers that request it would have to wait for
/// its load.
constexpr Milliseconds timePerEvictionCost { 400 };
/// A model with at least this many adapters serves as many groups of callers and becomes busy more often than one
/// without. It is kept cached on a second engine, because loading a copy from the weight store takes longer than its
/// callers wait.
constexpr std::uint32_t minAdaptersForStandby = 8;
constexpr std::size_t standbyEngines = 2;
/// An engine that limits its requests is asked to load a model only if others would take much longer.
constexpr Milliseconds costOfLimitedEngine { 3000 };
/// Makes all routers choose the same engine among those that could load the model equally soon.
constexpr Milliseconds timePerRank { 60 };
/// An engine that has been asked to load is replaced by another one only if that would be faster by this much: a
/// requested load is often already in progress.
constexpr Milliseconds minSwitchGain { 700 };
/// The time for an agent to receive a request and report on it; after that its silence counts as a refusal.
constexpr Milliseconds agentAnswerTimeout { 400 };
/// The time for a new subscription to deliver the engine's state.
constexpr Milliseconds subscriptionTimeout { 150 };
/// The models to be placed change from plan to plan; opening a connection costs more than keeping one for a while.
constexpr Milliseconds candidateRetention { 5000 };
/// No request waits for a prefetch, and searching for uncached models visits every model.
constexpr Milliseconds uncachedTtl { 500 };
/// How long an agent that couldn't place a model isn't asked again: what occupies its slots changes within seconds, and
/// it stops reporting on a model as soon as the model is no longer requested.
constexpr Milliseconds refusalTtl { 1500 };
/// A router subscribes to all engines of a service that has at most this many.
constexpr std::size_t smallFleet = 64;
/// Candidates for a model that requests wait for.
constexpr CandidateCounts awaitedCandidates { 8, 8 };
/// Candidates for a further copy of a busy model; one more preferred engine is added for each missing copy.
constexpr CandidateCounts copyCandidates { 2, 1 };
constexpr CandidateCounts prefetchCandidates { 0, 2 };
/// Every router subscribes to the first engines of one fixed order, so that their agents can count all routers and pass
/// on what they tell each other.
const ModelName commonKey("count of routers");
constexpr std::size_t commonEngines = 3;
/// In fleets that aren't small. More keepers cost each router more links, fewer cost each keeper more records.
constexpr std::size_t maxKeepers = 24;
/// A keeper of quotas decides on each request of its customers, so their number grows with the fleet.
constexpr std::size_t enginesPerQuotaKeeper = 35;
constexpr std::size_t minQuotaKeepers = 3;

double workOf(const PlannerInput& input, const ModelName& model)
{
    const auto found = input.work.find(model);
    return found == input.work.end() ? 0 : found->second;
}

} // namespace

DemandPlanner::DemandPlanner()
    : loadOrder_(policy::makeLoadOrder({}))
{
}

LoadPlan DemandPlanner::plan(const PlannerInput& input)
{
    lists_.clear();
    facts_.clear();
    placementsEvaluated_ = 0;
    for (const EngineFacts& engine : input.engines) {
        lists_[engine.engine];
        facts_[engine.engine] = &engine;
    }
    collectFleetWork(input);
    observeStoreLoads(input);
    recordRefusals(input);
    planLoaded(input);
    planWaiting(input);
    if (input.policy.copiesBusyModels)
        planCopies(input);
    if (input.policy.fetchesAhead)
        planPrefetch(input);
    return { std::move(lists_), subscriptions(input), relays(input), keepers(input), quotaKeepers(input) };
}

/// The agents report how busy models are because they receive the work from all routers; a single router sees too few
/// requests.
void DemandPlanner::collectFleetWork(const PlannerInput& input)
{
    fleetWork_.clear();
    for (const EngineFacts& engine : input.engines) {
        for (const catalog::LoadedModel& held : engine.state->held) {
            double& work = fleetWork_[held.model];
            work = std::max(work, held.work);
        }
    }
}

const EngineFacts* DemandPlanner::factsOf(const Endpoint& engine) const
{
    const auto found = facts_.find(engine);
    return found == facts_.end() ? nullptr : found->second;
}

std::uint32_t DemandPlanner::replicasOf(const PlannerInput& input, const ModelName& model)
{
    return static_cast<std::uint32_t>(input.replicas.loadedAt(model).size());
}

/// Returns the number of replicas as far as their engines take requests: one that limits its requests counts for the
/// work that these are.
std::uint32_t DemandPlanner::usableReplicas(const PlannerInput& input, const ModelName& model)
{
    const auto work = input.workPerRequest.find(model);
    double replicas = 0;
    for (const Endpoint& engine : input.replicas.loadedAt(model)) {
        const auto limit = input.limits.find(engine);
        const bool isLimited = limit != input.limits.end() && work != input.workPerRequest.end();
        replicas += isLimited ? std::min(1.0, policy::copiesForWork(limit->second.value() * work->second)) : 1;
    }
    return static_cast<std::uint32_t>(replicas);
}

/// Returns the engines that may be asked to load the model. An engine that refused recently, or whose agent can't be
/// reached, is replaced by the next one of the order.
std::vector<Endpoint> DemandPlanner::candidatesFor(
    const PlannerInput& input, const ModelName& model, const CandidateCounts& limit)
{
    std::vector<Endpoint> candidates;
    if (input.replicas.size() <= smallFleet) {
        for (const EngineFacts& engine : input.engines)
            candidates.push_back(engine.engine);
        return candidates;
    }
    for (const Endpoint& engine : input.replicas.availableAt(model)) {
        if (candidates.size() < limit.cached && !input.unreachable.contains(engine))
            candidates.push_back(engine);
    }
    std::size_t asked = 0;
    for (const Endpoint* const engine : input.replicas.order(model)) {
        if (asked == limit.preferred)
            break;
        if (!isEligible(input, model, *engine))
            continue;
        ++asked;
        if (std::find(candidates.begin(), candidates.end(), *engine) == candidates.end())
            candidates.push_back(*engine);
    }
    for (const Endpoint& engine : candidates)
        candidates_[engine] = input.now;
    return candidates;
}

bool DemandPlanner::isEligible(const PlannerInput& input, const ModelName& model, const Endpoint& engine) const
{
    return !input.unreachable.contains(engine) && !hasRefused(model, engine);
}

std::set<Endpoint> DemandPlanner::subscriptions(const PlannerInput& input)
{
    std::set<Endpoint> subscriptions;
    if (input.replicas.size() <= smallFleet) {
        for (const auto& [engine, contents] : input.replicas.engines())
            subscriptions.insert(engine);
        return subscriptions;
    }
    std::erase_if(candidates_, [&](const auto& entry) { return input.now - entry.second > candidateRetention; });
    for (const auto& [engine, since] : candidates_)
        subscriptions.insert(engine);
    for (const auto& [model, work] : input.work) {
        const ReplicaIndex::Engines& engines = input.replicas.loadedAt(model);
        subscriptions.insert(engines.begin(), engines.end());
    }
    subscriptions.merge(relays(input));
    // A router without requests has no streams.
    if (!input.work.empty())
        subscriptions.merge(keepers(input));
    subscriptions.merge(quotaKeepers(input));
    return subscriptions;
}

std::set<Endpoint> DemandPlanner::relays(const PlannerInput& input)
{
    std::set<Endpoint> relays;
    for (const Endpoint* const engine : input.replicas.order(commonKey)) {
        if (relays.size() == commonEngines)
            break;
        if (!input.unreachable.contains(*engine))
            relays.insert(*engine);
    }
    return relays;
}

/// Includes engines that this router can't reach: others may, and a choice that depends on who can reach whom would
/// differ between routers.
std::set<Endpoint> DemandPlanner::keepers(const PlannerInput& input)
{
    return firstInCommonOrder(input, input.replicas.size() <= smallFleet ? smallFleet : maxKeepers);
}

std::set<Endpoint> DemandPlanner::quotaKeepers(const PlannerInput& input)
{
    if (!input.hasQuotas)
        return {};
    return firstInCommonOrder(input, std::max(minQuotaKeepers, input.replicas.size() / enginesPerQuotaKeeper));
}

std::set<Endpoint> DemandPlanner::firstInCommonOrder(const PlannerInput& input, std::size_t limit)
{
    std::set<Endpoint> first;
    for (const Endpoint* const engine : input.replicas.order(commonKey)) {
        if (first.size() == limit)
            break;
        first.insert(*engine);
    }
    return first;
}

void DemandPlanner::observeStoreLoads(const PlannerInput& input)
{
    std::map<std::string, Milliseconds> loads;
    std::vector<Milliseconds> left;
    for (const EngineFacts& engine : input.engines) {
        const ModelProfile* const model = input.profile.find(engine.state->loading);
        if (!engine.state->loadsFromStore || !model)
            continue;
        loads.emplace(engine.engine.value() + ' ' + model->name.value(), model->loadFromStore);
        left.push_back(expectedLoadTime(engine, model->name, input.now).value_or(model->loadFromStore));
    }
    storeConcurrency_.observe(loads, input.now);
    storeQueue_ = policy::StoreQueue(storeConcurrency_.slots(), std::move(left));
}

bool DemandPlanner::needsStore(const EngineFacts& engine, const ModelProfile& model)
{
    return engine.state->loading != model.name
        && catalog::loadTime(model, engine.state->cachedWeights) >= model.loadFromStore;
}

/// Whether the load may be requested. Loads from the weight store are limited to the number that it serves at full
/// speed: beyond that all loads slow down together and each of them finishes too late.
bool DemandPlanner::takeStoreSlot(const PlannerInput& input, const Endpoint& engine, const ModelProfile& model)
{
    if (!input.policy.sharesWeightStore || !needsStore(*factsOf(engine), model))
        return true;
    if (!storeQueue_.hasFreeSlot())
        return false;
    storeQueue_.add(model.loadFromStore);
    return true;
}

/// Returns the time until the model would be loaded, plus the other costs of the load expressed as time;
/// `loadImpossible` if the engine can't free enough memory.
///
/// Excludes an engine that is just unloading the model: it has the weights cached and so appears to be the fastest, but
/// it can't load a model that is still loaded, and callers would wait until the unloading has ended.
Milliseconds DemandPlanner::placementCost(
    const PlannerInput& input, const EngineFacts& engine, const ModelProfile& model, bool hasWaitingRequests)
{
    ++placementsEvaluated_;
    const bool isLimited = input.limits.contains(engine.engine);
    const Milliseconds byRank
        = timePerRank * rankOf(input, model.name, engine.engine) + (isLimited ? costOfLimitedEngine : Milliseconds(0));
    // Requests that wait although the engine has the model wait for one that takes them.
    const bool isHeldBack = isLimited && hasWaitingRequests && engine.state->find(model.name);
    if (isHeldBack || hasRefused(model.name, engine.engine) || engine.state->isDraining(model.name))
        return catalog::loadImpossible + byRank;
    if (expectedLoadTime(engine, model.name, input.now))
        return loadCost(engine, model, input.now) + byRank;
    const auto eviction = EvictionCost(input, fleetWork_).estimate(engine, model, hasWaitingRequests);
    if (!eviction)
        return catalog::loadImpossible + byRank;
    return loadCost(engine, model, input.now) + byRank
        + (eviction->isInUse && input.policy.avoidsDrains ? input.runTime : Milliseconds(0))
        + Milliseconds(
            static_cast<std::int64_t>(eviction->evictionCost * static_cast<double>(timePerEvictionCost.count())));
}

/// Prevents a planner from alternating between two agents that both refuse while a third engine has enough memory: an
/// agent reports its refusal only while it is asked.
void DemandPlanner::recordRefusals(const PlannerInput& input)
{
    std::erase_if(refusals_, [&](const auto& entry) { return input.now - entry.second > refusalTtl; });
    for (const EngineFacts& engine : input.engines) {
        for (const EngineState::Expected& expected : engine.state->expected) {
            if (expected.within >= catalog::loadImpossible)
                refusals_[{ expected.model, engine.engine }] = input.now;
        }
    }
}

bool DemandPlanner::hasRefused(const ModelName& model, const Endpoint& engine) const
{
    return refusals_.contains({ model, engine });
}

/// Agents have to know the demand for their engines' loaded models before they unload one.
void DemandPlanner::planLoaded(const PlannerInput& input)
{
    for (const EngineFacts& engine : input.engines) {
        for (const catalog::LoadedModel& held : engine.state->held) {
            TargetDemand demand;
            demand.target.model = held.model;
            add(input, engine.engine, demand);
        }
        for (const auto& [target, inFlight] : engine.inFlight) {
            if (target.adapter.value().empty())
                continue;
            TargetDemand demand;
            demand.target = target;
            add(input, engine.engine, demand);
        }
    }
}

void DemandPlanner::planWaiting(const PlannerInput& input)
{
    deferredLoads_.clear();
    std::set<ModelName> awaitedModels;
    for (const WaitingRequests& waiting : inLoadOrder(input)) {
        TargetDemand demand;
        demand.target = waiting.target;
        demand.waiting = waiting.waiting;
        demand.earliest = waiting.earliest;
        demand.priority = waiting.priority;
        if (!waiting.at.value().empty()) {
            add(input, waiting.at, demand);
            continue;
        }
        awaitedModels.insert(waiting.target.model);
        planWaitingForModel(input, waiting, demand);
    }
    std::erase_if(choices_, [&](const auto& entry) { return !awaitedModels.contains(entry.first); });
}

/// The few slots of the weight store go to the loads with the most waiting requests that can still be served in time.
/// In any other order, a model with many waiting requests could queue behind one whose caller disconnects before it is
/// loaded.
std::vector<WaitingRequests> DemandPlanner::inLoadOrder(const PlannerInput& input) const
{
    std::vector<policy::PendingLoad> loads;
    for (const WaitingRequests& waiting : input.waiting) {
        const ModelProfile* const model = input.profile.find(waiting.target.model);
        loads.push_back({ waiting.target.model.value(), waiting.earliest, waiting.waiting, waiting.since,
            model ? model->loadFromStore : Milliseconds(0), waiting.priority });
    }
    if (!input.policy.ordersLoadsByValue)
        return input.waiting;
    std::vector<WaitingRequests> sequence;
    for (const std::size_t index : policy::loadSequence(*loadOrder_, loads, input.now))
        sequence.push_back(input.waiting[index]);
    return sequence;
}

void DemandPlanner::planWaitingForModel(
    const PlannerInput& input, const WaitingRequests& waiting, const TargetDemand& demand)
{
    const Endpoint* const loader = chooseLoader(input, waiting);
    if (!loader)
        return;
    const ModelProfile& model = *input.profile.find(waiting.target.model);
    if (takeStoreSlot(input, *loader, model))
        return add(input, *loader, demand);
    deferredLoads_[model.name] = framework::Deadline::after(input.now, storeQueue_.add(model.loadFromStore));
}

const Endpoint* DemandPlanner::chooseLoader(const PlannerInput& input, const WaitingRequests& waiting)
{
    const ModelProfile* const model = input.profile.find(waiting.target.model);
    if (!model)
        return nullptr;
    const auto costAt = [&](const EngineFacts& engine) { return placementCost(input, engine, *model, true); };
    const EngineFacts* best = nullptr;
    Milliseconds lowest(0);
    bool isStateMissing = false;
    for (const Endpoint& candidate : candidatesFor(input, model->name, awaitedCandidates)) {
        const EngineFacts* const engine = factsOf(candidate);
        if (!engine) {
            isStateMissing = true;
            continue;
        }
        const Milliseconds cost = costAt(*engine);
        if (best && cost >= lowest)
            continue;
        best = engine;
        lowest = cost;
    }
    if (!best) {
        choices_.erase(model->name);
        return nullptr;
    }
    // Routers that know the states of different engines would choose different ones.
    if (isStateMissing && input.now - waiting.since < subscriptionTimeout && !choices_.contains(model->name))
        return nullptr;
    Choice& choice = choices_[model->name];
    if (const EngineFacts* const before = factsOf(choice.engine)) {
        const bool isSilent
            = !expectedLoadTime(*before, model->name, input.now) && input.now - choice.since > agentAnswerTimeout;
        const Milliseconds gain = input.policy.keepsToLoader ? minSwitchGain : Milliseconds(0);
        if (!isSilent && costAt(*before) <= lowest + gain)
            return &choice.engine;
    }
    choice = { best->engine, input.now };
    return &choice.engine;
}

/// Busy models need more than one engine. An engine that has been asked to load a copy is replaced only for the same
/// gain as for a model with waiting requests: it may have to let requests end first, and starts over each time it is
/// asked again.
void DemandPlanner::planCopies(const PlannerInput& input)
{
    auto askedBefore = std::exchange(copyLoaders_, {});
    for (const auto& [name, work] : fleetWork_) {
        const ModelProfile* const model = input.profile.find(name);
        if (!model || !policy::isBusyModel(work))
            continue;
        std::uint32_t missing = policy::desiredCopies(work);
        missing -= std::min(missing, usableReplicas(input, name) + loadersOf(input.engines, name));
        if (missing == 0 || !input.work.contains(name))
            continue;
        const std::vector<Endpoint> candidates
            = candidatesFor(input, name, { copyCandidates.cached, copyCandidates.preferred + missing });
        // All missing copies are requested at once because a load may take many seconds.
        for (const Endpoint& engine : cheapestFor(input, *model, candidates, missing, askedBefore[name])) {
            if (!takeStoreSlot(input, engine, *model))
                break;
            TargetDemand demand;
            demand.target.model = name;
            demand.isCopy = true;
            copyLoaders_[name].insert(engine);
            add(input, engine, demand);
        }
    }
}

/// Returns the candidates that don't have the model loaded, in ascending order of placement cost.
std::vector<Endpoint> DemandPlanner::cheapestFor(const PlannerInput& input, const ModelProfile& model,
    const std::vector<Endpoint>& candidates, std::size_t limit, const std::set<Endpoint>& askedBefore)
{
    std::vector<std::pair<Milliseconds, Endpoint>> costs;
    for (const Endpoint& candidate : candidates) {
        const EngineFacts* const engine = factsOf(candidate);
        if (!engine || engine->state->find(model.name) || engine->state->loading == model.name)
            continue;
        const Milliseconds cost = placementCost(input, *engine, model, false);
        if (cost < catalog::loadImpossible)
            costs.emplace_back(cost - (askedBefore.contains(candidate) ? minSwitchGain : Milliseconds(0)), candidate);
    }
    std::sort(costs.begin(), costs.end());
    std::vector<Endpoint> cheapest;
    for (const auto& [cost, engine] : costs) {
        if (cheapest.size() == limit)
            break;
        cheapest.push_back(engine);
    }
    return cheapest;
}

/// A model that no engine has cached costs its first caller a load from the weight store, which usually takes longer
/// than callers accept. Each such model is therefore prefetched while no request waits for it, a few at a time, and
/// some on a second engine.
///
/// Prevents prefetching before demand is known: after a power loss of all machines, an engine would be busy loading a
/// model that nobody requests while it has the only copy on disk of the model that everybody requests.
void DemandPlanner::planPrefetch(const PlannerInput& input)
{
    if (!input.isDemandKnown)
        return;
    std::vector<Endpoint> taken;
    for (const ModelName& name : uncached(input)) {
        if (storeQueue_.freeSlots() <= taken.size())
            return;
        const ModelProfile* const model = input.profile.find(name);
        if (!model || isCachedEnough(input, *model))
            continue;
        const std::vector<Endpoint> candidates = candidatesFor(input, model->name, prefetchCandidates);
        for (const Endpoint& engine : cheapestFor(input, *model, candidates, candidates.size(), {})) {
            const bool isBusy = !factsOf(engine)->state->loading.value().empty()
                || std::find(taken.begin(), taken.end(), engine) != taken.end();
            if (isBusy)
                continue;
            TargetDemand demand;
            demand.target.model = model->name;
            demand.isPrefetch = true;
            add(input, engine, demand);
            taken.push_back(engine);
            break;
        }
    }
}

bool DemandPlanner::isCachedEnough(const PlannerInput& input, const ModelProfile& model)
{
    const bool hasStandby = input.policy.keepsStandbys && model.adapters >= minAdaptersForStandby;
    return input.replicas.availableAt(model.name).size() >= (hasStandby ? standbyEngines : 1);
}

/// Returns the models that too few engines have cached, starting with those that no engine has.
const std::vector<ModelName>& DemandPlanner::uncached(const PlannerInput& input)
{
    if (uncachedAt_ && input.now - *uncachedAt_ < uncachedTtl)
        return uncached_;
    uncachedAt_ = input.now;
    std::vector<std::tuple<std::size_t, std::uint64_t, ModelName>> missing;
    for (const ModelProfile& model : input.profile.models) {
        if (isCachedEnough(input, model))
            continue;
        const std::string& name = model.name.value();
        missing.emplace_back(input.replicas.availableAt(model.name).size(),
            policy::mixBits(policy::fnv1a(name.data(), name.size())), model.name);
    }
    std::sort(missing.begin(), missing.end());
    uncached_.clear();
    for (const auto& [engines, hash, name] : missing)
        uncached_.push_back(name);
    return uncached_;
}

void DemandPlanner::add(const PlannerInput& input, const Endpoint& endpoint, TargetDemand demand)
{
    const auto list = lists_.find(endpoint);
    if (list == lists_.end())
        return;
    const EngineFacts* const engine = factsOf(endpoint);
    const ModelName& model = demand.target.model;
    demand.work = workOf(input, model);
    demand.rank = demand.isLoad() ? rankOf(input, model, endpoint) : 0;
    demand.holders = replicasOf(input, model);
    const auto inFlight = engine->inFlight.find(demand.target);
    demand.inFlight = inFlight == engine->inFlight.end() ? 0 : inFlight->second;
    const auto same = std::find_if(list->second.begin(), list->second.end(),
        [&](const TargetDemand& other) { return other.target == demand.target; });
    if (same == list->second.end())
        list->second.push_back(std::move(demand));
    else if (demand.isLoad() && same->waiting == 0)
        *same = std::move(demand);
}

std::uint32_t DemandPlanner::rankOf(const PlannerInput& input, const ModelName& model, const Endpoint& engine)
{
    return static_cast<std::uint32_t>(input.replicas.rank(model, engine, smallFleet));
}

std::optional<Milliseconds> DemandPlanner::timeUntilLoaded(
    const std::vector<EngineFacts>& engines, const WaitingRequests& waiting, framework::SteadyTime now) const
{
    std::optional<Milliseconds> lowest;
    if (!waiting.target.adapter.value().empty())
        return lowest;
    for (const EngineFacts& engine : engines) {
        const auto expected = expectedLoadTime(engine, waiting.target.model, now);
        if (expected && *expected < catalog::loadImpossible && (!lowest || *expected < *lowest))
            lowest = expected;
    }
    const auto deferred = deferredLoads_.find(waiting.target.model);
    return lowest || deferred == deferredLoads_.end() ? lowest : std::optional(deferred->second.remaining(now));
}

} // namespace lagoon::forwarding
