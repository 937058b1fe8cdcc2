#include "forwarding/wantedplanner.h"

#include "catalog/modelweights.h"
#include "forwarding/internal/enginefacts.h"
#include "forwarding/internal/roomdamage.h"
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

/// What it is worth to keep one rare model where it is, against the time of a load: those who ask for it next wait for
/// its load instead.
constexpr Milliseconds perDamage { 400 };
/// A model with so many adapters serves as many groups of callers, and grows busy more often than one with none. It is
/// kept at hand on a second engine, since a copy from the store takes longer than its callers wait.
constexpr std::uint32_t adaptersOfStandby = 8;
constexpr std::size_t standbyEngines = 2;
/// Among engines that could load as soon as each other, the same one at all routers.
constexpr Milliseconds perRank { 60 };
/// An engine that has been asked is left for another only if that one is so much sooner: a load that has been asked for
/// is often under way already.
constexpr Milliseconds changeGain { 700 };
/// For an agent to hear and answer before its silence counts as a refusal.
constexpr Milliseconds answerTime { 400 };
/// For a new subscription to bring its engine's state.
constexpr Milliseconds subscribeTime { 150 };
/// What is placed changes from plan to plan; a link costs more to open than to keep for a while.
constexpr Milliseconds candidateHolds { 5000 };
/// Nobody waits for what is fetched ahead, and looking for it costs a look at each model.
constexpr Milliseconds uncachedHolds { 500 };
/// How long an agent that couldn't place a model isn't asked again: what holds its places changes within seconds, and
/// what it says of a model ends as soon as it isn't asked any more.
constexpr Milliseconds refusalHolds { 1500 };
/// A service of so few engines is subscribed to as a whole.
constexpr std::size_t fewEngines = 64;
/// For a model that requests wait for.
constexpr CandidateCounts waitedCandidates { 8, 8 };
/// For a further copy of a busy model, beside one preferred engine for each copy that is missing.
constexpr CandidateCounts copyCandidates { 2, 1 };
constexpr CandidateCounts prefetchCandidates { 0, 2 };
/// Every router subscribes to the first engines of one fixed order, so that their agents count all routers.
const ModelName countingKey("count of routers");
constexpr std::size_t countingEngines = 3;

double workOf(const PlannerInput& input, const ModelName& model)
{
    const auto found = input.work.find(model);
    return found == input.work.end() ? 0 : found->second;
}

} // namespace

WantedPlanner::WantedPlanner()
    : loadOrder_(policy::makeLoadOrder({}))
{
}

LoadPlan WantedPlanner::plan(const PlannerInput& input)
{
    lists_.clear();
    facts_.clear();
    placementsWeighed_ = 0;
    for (const EngineFacts& engine : input.engines) {
        lists_[engine.engine];
        facts_[engine.engine] = &engine;
    }
    noteHeld(input);
    noteStoreLoads(input);
    noteRefusals(input);
    planHeld(input);
    planWaiting(input);
    if (input.policy.copiesBusyModels)
        planCopies(input);
    if (input.policy.fetchesAhead)
        planPrefetch(input);
    return { std::move(lists_), subscriptions(input) };
}

/// How busy models are comes from the agents, which hear it from all routers: one router alone sees too few requests.
void WantedPlanner::noteHeld(const PlannerInput& input)
{
    workOfAll_.clear();
    for (const EngineFacts& engine : input.engines) {
        for (const catalog::LoadedModel& held : engine.state->held) {
            double& work = workOfAll_[held.model];
            work = std::max(work, held.work);
        }
    }
}

const EngineFacts* WantedPlanner::factsOf(const Endpoint& engine) const
{
    const auto found = facts_.find(engine);
    return found == facts_.end() ? nullptr : found->second;
}

std::uint32_t WantedPlanner::replicasOf(const PlannerInput& input, const ModelName& model)
{
    return static_cast<std::uint32_t>(input.replicas.loadedAt(model).size());
}

/// Engines that may be asked to load the model. One that refused lately, or whose agent can't be reached, is replaced
/// by the next of the order.
std::vector<Endpoint> WantedPlanner::candidatesFor(
    const PlannerInput& input, const ModelName& model, const CandidateCounts& most)
{
    std::vector<Endpoint> candidates;
    if (input.replicas.size() <= fewEngines) {
        for (const EngineFacts& engine : input.engines)
            candidates.push_back(engine.engine);
        return candidates;
    }
    for (const Endpoint& engine : input.replicas.availableAt(model)) {
        if (candidates.size() < most.cached && !input.unreachable.contains(engine))
            candidates.push_back(engine);
    }
    std::size_t asked = 0;
    for (const Endpoint* const engine : input.replicas.order(model)) {
        if (asked == most.preferred)
            break;
        if (!mayBeAsked(input, model, *engine))
            continue;
        ++asked;
        if (std::find(candidates.begin(), candidates.end(), *engine) == candidates.end())
            candidates.push_back(*engine);
    }
    for (const Endpoint& engine : candidates)
        candidates_[engine] = input.now;
    return candidates;
}

bool WantedPlanner::mayBeAsked(const PlannerInput& input, const ModelName& model, const Endpoint& engine) const
{
    return !input.unreachable.contains(engine) && !hasRefused(model, engine);
}

std::set<Endpoint> WantedPlanner::subscriptions(const PlannerInput& input)
{
    std::set<Endpoint> subscriptions;
    if (input.replicas.size() <= fewEngines) {
        for (const auto& [engine, contents] : input.replicas.engines())
            subscriptions.insert(engine);
        return subscriptions;
    }
    std::erase_if(candidates_, [&](const auto& entry) { return input.now - entry.second > candidateHolds; });
    for (const auto& [engine, since] : candidates_)
        subscriptions.insert(engine);
    for (const auto& [model, work] : input.work) {
        const ReplicaIndex::Engines& engines = input.replicas.loadedAt(model);
        subscriptions.insert(engines.begin(), engines.end());
    }
    std::size_t counting = 0;
    for (const Endpoint* const engine : input.replicas.order(countingKey)) {
        if (counting == countingEngines)
            break;
        if (input.unreachable.contains(*engine))
            continue;
        subscriptions.insert(*engine);
        ++counting;
    }
    return subscriptions;
}

void WantedPlanner::noteStoreLoads(const PlannerInput& input)
{
    std::map<std::string, Milliseconds> loads;
    std::vector<Milliseconds> left;
    for (const EngineFacts& engine : input.engines) {
        const ModelProfile* const model = input.profile.find(engine.state->loading);
        if (!engine.state->loadsFromStore || !model)
            continue;
        loads.emplace(engine.engine.value() + ' ' + model->name.value(), model->loadFromStore);
        left.push_back(expectedAt(engine, model->name, input.now).value_or(model->loadFromStore));
    }
    storePlaces_.observe(loads, input.now);
    storeQueue_ = policy::StoreQueue(storePlaces_.places(), std::move(left));
}

bool WantedPlanner::needsStore(const EngineFacts& engine, const ModelProfile& model)
{
    return engine.state->loading != model.name
        && catalog::loadTime(model, engine.state->cachedWeights) >= model.loadFromStore;
}

/// Whether the load may be asked for: from the store only while it serves no more than it can at full speed. Beyond
/// that all loads slow down together, and each of them comes too late.
bool WantedPlanner::takeStorePlace(const PlannerInput& input, const Endpoint& engine, const ModelProfile& model)
{
    if (!input.policy.sharesWeightStore || !needsStore(*factsOf(engine), model))
        return true;
    if (!storeQueue_.hasPlace())
        return false;
    storeQueue_.add(model.loadFromStore);
    return true;
}

/// Time until the model would be there, and what else its load costs in terms of time; `loadImpossible` if there's no
/// room.
///
/// Guards against asking the engine at which the model is just making way: it has the weights at hand, so it seems the
/// soonest, but it loads nothing that it still holds, and callers wait until that has ended.
Milliseconds WantedPlanner::placingCost(
    const PlannerInput& input, const EngineFacts& engine, const ModelProfile& model, bool isWaitedFor)
{
    ++placementsWeighed_;
    const Milliseconds byRank = perRank * rankOf(input, model.name, engine.engine);
    if (hasRefused(model.name, engine.engine) || engine.state->isDraining(model.name))
        return catalog::loadImpossible + byRank;
    if (expectedAt(engine, model.name, input.now))
        return loadCost(engine, model, input.now) + byRank;
    const auto room = RoomDamage(input, workOfAll_).ofRoom(engine, model, isWaitedFor);
    if (!room)
        return catalog::loadImpossible + byRank;
    return loadCost(engine, model, input.now) + byRank
        + (room->isInUse && input.policy.avoidsDrains ? input.runTime : Milliseconds(0))
        + Milliseconds(static_cast<std::int64_t>(room->damage * static_cast<double>(perDamage.count())));
}

/// Guards against asking two agents in turn, each of which says no, while a third has room: an agent's answer is only
/// there for as long as it is asked.
void WantedPlanner::noteRefusals(const PlannerInput& input)
{
    std::erase_if(refusals_, [&](const auto& entry) { return input.now - entry.second > refusalHolds; });
    for (const EngineFacts& engine : input.engines) {
        for (const EngineState::Expected& expected : engine.state->expected) {
            if (expected.within >= catalog::loadImpossible)
                refusals_[{ expected.model, engine.engine }] = input.now;
        }
    }
}

bool WantedPlanner::hasRefused(const ModelName& model, const Endpoint& engine) const
{
    return refusals_.contains({ model, engine });
}

/// Agents have to know what their engines' models are worth before they unload one.
void WantedPlanner::planHeld(const PlannerInput& input)
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

void WantedPlanner::planWaiting(const PlannerInput& input)
{
    heldBack_.clear();
    std::set<ModelName> waitedFor;
    for (const WaitingFor& waiting : bySequence(input)) {
        TargetDemand demand;
        demand.target = waiting.target;
        demand.waiting = waiting.waiting;
        demand.earliest = waiting.earliest;
        demand.priority = waiting.priority;
        if (!waiting.at.value().empty()) {
            add(input, waiting.at, demand);
            continue;
        }
        waitedFor.insert(waiting.target.model);
        planWaitingForModel(input, waiting, demand);
    }
    std::erase_if(choices_, [&](const auto& entry) { return !waitedFor.contains(entry.first); });
}

/// The store's few places go to those first for whom most callers wait, and who can still be in time: with places given
/// in any order a model that many wait for stands behind one whose caller has left before it is there.
std::vector<WaitingFor> WantedPlanner::bySequence(const PlannerInput& input) const
{
    std::vector<policy::PendingLoad> loads;
    for (const WaitingFor& waiting : input.waiting) {
        const ModelProfile* const model = input.profile.find(waiting.target.model);
        loads.push_back({ waiting.target.model.value(), waiting.earliest, waiting.waiting, waiting.since,
            model ? model->loadFromStore : Milliseconds(0), waiting.priority });
    }
    if (!input.policy.ordersLoadsByValue)
        return input.waiting;
    std::vector<WaitingFor> sequence;
    for (const std::size_t index : policy::sequenceOf(*loadOrder_, loads, input.now))
        sequence.push_back(input.waiting[index]);
    return sequence;
}

void WantedPlanner::planWaitingForModel(
    const PlannerInput& input, const WaitingFor& waiting, const TargetDemand& demand)
{
    const Endpoint* const loader = chooseLoader(input, waiting);
    if (!loader)
        return;
    const ModelProfile& model = *input.profile.find(waiting.target.model);
    if (takeStorePlace(input, *loader, model))
        return add(input, *loader, demand);
    heldBack_[model.name] = framework::Deadline::after(input.now, storeQueue_.add(model.loadFromStore));
}

const Endpoint* WantedPlanner::chooseLoader(const PlannerInput& input, const WaitingFor& waiting)
{
    const ModelProfile* const model = input.profile.find(waiting.target.model);
    if (!model)
        return nullptr;
    const auto costAt = [&](const EngineFacts& engine) { return placingCost(input, engine, *model, true); };
    const EngineFacts* best = nullptr;
    Milliseconds least(0);
    bool isOneUnheard = false;
    for (const Endpoint& candidate : candidatesFor(input, model->name, waitedCandidates)) {
        const EngineFacts* const engine = factsOf(candidate);
        if (!engine) {
            isOneUnheard = true;
            continue;
        }
        const Milliseconds cost = costAt(*engine);
        if (best && cost >= least)
            continue;
        best = engine;
        least = cost;
    }
    if (!best) {
        choices_.erase(model->name);
        return nullptr;
    }
    // Routers that hear different engines would name different ones.
    if (isOneUnheard && input.now - waiting.since < subscribeTime && !choices_.contains(model->name))
        return nullptr;
    Choice& choice = choices_[model->name];
    if (const EngineFacts* const before = factsOf(choice.engine)) {
        const bool isSilent = !expectedAt(*before, model->name, input.now) && input.now - choice.since > answerTime;
        const Milliseconds gain = input.policy.keepsToLoader ? changeGain : Milliseconds(0);
        if (!isSilent && costAt(*before) <= least + gain)
            return &choice.engine;
    }
    choice = { best->engine, input.now };
    return &choice.engine;
}

/// Busy models need more than one engine. An engine that has been asked is left for another only for the gain at which
/// a waited load would be: it may have to let requests end first, and begins anew each time that it is asked again.
void WantedPlanner::planCopies(const PlannerInput& input)
{
    auto askedBefore = std::exchange(copyLoaders_, {});
    for (const auto& [name, work] : workOfAll_) {
        const ModelProfile* const model = input.profile.find(name);
        if (!model || !policy::isBusyModel(work))
            continue;
        std::uint32_t missing = policy::wantedCopies(work);
        missing -= std::min(missing, replicasOf(input, name) + loadersOf(input.engines, name));
        if (missing == 0 || !input.work.contains(name))
            continue;
        const std::vector<Endpoint> candidates
            = candidatesFor(input, name, { copyCandidates.cached, copyCandidates.preferred + missing });
        // All that are missing at once: a load may take many seconds.
        for (const Endpoint& engine : cheapestFor(input, *model, candidates, missing, askedBefore[name])) {
            if (!takeStorePlace(input, engine, *model))
                break;
            TargetDemand demand;
            demand.target.model = name;
            demand.isCopy = true;
            copyLoaders_[name].insert(engine);
            add(input, engine, demand);
        }
    }
}

/// Candidates without the model, those first where it costs least to place it.
std::vector<Endpoint> WantedPlanner::cheapestFor(const PlannerInput& input, const ModelProfile& model,
    const std::vector<Endpoint>& candidates, std::size_t most, const std::set<Endpoint>& askedBefore)
{
    std::vector<std::pair<Milliseconds, Endpoint>> costs;
    for (const Endpoint& candidate : candidates) {
        const EngineFacts* const engine = factsOf(candidate);
        if (!engine || engine->state->find(model.name) || engine->state->loading == model.name)
            continue;
        const Milliseconds cost = placingCost(input, *engine, model, false);
        if (cost < catalog::loadImpossible)
            costs.emplace_back(cost - (askedBefore.contains(candidate) ? changeGain : Milliseconds(0)), candidate);
    }
    std::sort(costs.begin(), costs.end());
    std::vector<Endpoint> cheapest;
    for (const auto& [cost, engine] : costs) {
        if (cheapest.size() == most)
            break;
        cheapest.push_back(engine);
    }
    return cheapest;
}

/// A model that no engine has at hand costs its first caller a load from the store, mostly longer than callers find
/// acceptable. So each is fetched once while nobody waits for it, a few at a time, and some a second time.
///
/// Guards against fetching ahead before demand is known: after a loss of power everywhere an engine is busy for the
/// time of a load with a model that nobody asks for, and has the only copy on disk of the one that all ask for.
void WantedPlanner::planPrefetch(const PlannerInput& input)
{
    if (!input.isDemandKnown)
        return;
    std::vector<Endpoint> taken;
    for (const ModelName& name : uncached(input)) {
        if (storeQueue_.freePlaces() <= taken.size())
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

bool WantedPlanner::isCachedEnough(const PlannerInput& input, const ModelProfile& model)
{
    const bool hasStandby = input.policy.keepsStandbys && model.adapters >= adaptersOfStandby;
    return input.replicas.availableAt(model.name).size() >= (hasStandby ? standbyEngines : 1);
}

/// Models that too few engines have cached, those first that none has.
const std::vector<ModelName>& WantedPlanner::uncached(const PlannerInput& input)
{
    if (uncachedAt_ && input.now - *uncachedAt_ < uncachedHolds)
        return uncached_;
    uncachedAt_ = input.now;
    std::vector<std::tuple<std::size_t, std::uint64_t, ModelName>> missing;
    for (const ModelProfile& model : input.profile.models) {
        if (isCachedEnough(input, model))
            continue;
        const std::string& name = model.name.value();
        missing.emplace_back(input.replicas.availableAt(model.name).size(),
            policy::mixed(policy::fnv1a(name.data(), name.size())), model.name);
    }
    std::sort(missing.begin(), missing.end());
    uncached_.clear();
    for (const auto& [engines, hash, name] : missing)
        uncached_.push_back(name);
    return uncached_;
}

void WantedPlanner::add(const PlannerInput& input, const Endpoint& endpoint, TargetDemand demand)
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

std::uint32_t WantedPlanner::rankOf(const PlannerInput& input, const ModelName& model, const Endpoint& engine)
{
    return static_cast<std::uint32_t>(input.replicas.rank(model, engine, fewEngines));
}

std::optional<Milliseconds> WantedPlanner::soonest(
    const std::vector<EngineFacts>& engines, const WaitingFor& waiting, framework::SteadyTime now) const
{
    std::optional<Milliseconds> least;
    if (!waiting.target.adapter.value().empty())
        return least;
    for (const EngineFacts& engine : engines) {
        const auto expected = expectedAt(engine, waiting.target.model, now);
        if (expected && *expected < catalog::loadImpossible && (!least || *expected < *least))
            least = expected;
    }
    const auto held = heldBack_.find(waiting.target.model);
    return least || held == heldBack_.end() ? least : std::optional(held->second.remaining(now));
}

} // namespace lagoon::forwarding
