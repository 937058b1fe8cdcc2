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
using catalog::Wanted;
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
/// How long an agent that couldn't place a model isn't asked again: what holds its places changes within seconds, and
/// what it says of a model ends as soon as it isn't asked any more.
constexpr Milliseconds refusalHolds { 1500 };

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

std::map<Endpoint, catalog::WantedList> WantedPlanner::plan(const PlannerInput& input)
{
    lists_.clear();
    for (const EngineFacts& engine : input.engines)
        lists_[engine.engine];
    forgetOrdersOfOtherEngines(input);
    noteHeld(input);
    noteStoreLoads(input);
    noteRefusals(input);
    planHeld(input);
    planWaiting(input);
    if (input.policy.copiesBusyModels)
        planCopies(input);
    if (input.policy.fetchesAhead)
        planPrefetch(input);
    return std::move(lists_);
}

void WantedPlanner::forgetOrdersOfOtherEngines(const PlannerInput& input)
{
    std::vector<Endpoint> engines;
    for (const EngineFacts& engine : input.engines)
        engines.push_back(engine.engine);
    if (engines == orderedEngines_)
        return;
    orderedEngines_ = std::move(engines);
    orders_.clear();
}

/// Who holds what, and how busy it is. That comes from the agents, which hear it from all routers: one router alone
/// sees too few requests.
void WantedPlanner::noteHeld(const PlannerInput& input)
{
    workOfAll_.clear();
    holders_.clear();
    for (const EngineFacts& engine : input.engines) {
        for (const catalog::HeldModel& held : engine.state->held) {
            double& work = workOfAll_[held.model];
            work = std::max(work, held.work);
            holders_[held.model] += engine.state->isLeaving(held.model) ? 0 : 1;
        }
    }
}

std::uint32_t WantedPlanner::holdersOf(const ModelName& model) const
{
    const auto found = holders_.find(model);
    return found == holders_.end() ? 0 : found->second;
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
    return engine.state->loading != model.name && catalog::loadTime(model, engine.state->atHand) >= model.loadFromStore;
}

/// Whether the load may be asked for: from the store only while it serves no more than it can at full speed. Beyond
/// that all loads slow down together, and each of them comes too late.
bool WantedPlanner::takeStorePlace(const PlannerInput& input, const Endpoint& engine, const ModelProfile& model)
{
    if (!input.policy.sharesWeightStore || !needsStore(*factsOf(input.engines, engine), model))
        return true;
    if (!storeQueue_.hasPlace())
        return false;
    storeQueue_.add(model.loadFromStore);
    return true;
}

/// Time until the model would be there, and what else its load costs in terms of time; `cannotPlace` if there's no
/// room.
///
/// Guards against asking the engine at which the model is just making way: it has the weights at hand, so it seems the
/// soonest, but it loads nothing that it still holds, and callers wait until that has ended.
Milliseconds WantedPlanner::placingCost(
    const PlannerInput& input, const EngineFacts& engine, const ModelProfile& model, bool isWaitedFor)
{
    const Milliseconds byRank = perRank * rankOf(input, model.name, engine.engine);
    if (hasRefused(model.name, engine.engine) || engine.state->isLeaving(model.name))
        return catalog::cannotPlace + byRank;
    if (expectedAt(engine, model.name, input.now))
        return loadCost(engine, model, input.now) + byRank;
    const auto room = RoomDamage(input, workOfAll_, holders_).ofRoom(engine, model, isWaitedFor);
    if (!room)
        return catalog::cannotPlace + byRank;
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
            if (expected.within >= catalog::cannotPlace)
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
        for (const catalog::HeldModel& held : engine.state->held) {
            Wanted wanted;
            wanted.target.model = held.model;
            add(input, engine.engine, wanted);
        }
        for (const auto& [target, inFlight] : engine.inFlight) {
            if (target.adapter.value().empty())
                continue;
            Wanted wanted;
            wanted.target = target;
            add(input, engine.engine, wanted);
        }
    }
}

void WantedPlanner::planWaiting(const PlannerInput& input)
{
    heldBack_.clear();
    std::set<ModelName> waitedFor;
    for (const WaitingFor& waiting : bySequence(input)) {
        Wanted wanted;
        wanted.target = waiting.target;
        wanted.waiting = waiting.waiting;
        wanted.earliest = waiting.earliest;
        wanted.priority = waiting.priority;
        if (!waiting.at.value().empty()) {
            add(input, waiting.at, wanted);
            continue;
        }
        waitedFor.insert(waiting.target.model);
        planWaitingForModel(input, waiting, wanted);
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

void WantedPlanner::planWaitingForModel(const PlannerInput& input, const WaitingFor& waiting, const Wanted& wanted)
{
    const Endpoint* const loader = chooseLoader(input, waiting);
    if (!loader)
        return;
    const ModelProfile& model = *input.profile.find(waiting.target.model);
    if (takeStorePlace(input, *loader, model))
        return add(input, *loader, wanted);
    heldBack_[model.name] = framework::Deadline::after(input.now, storeQueue_.add(model.loadFromStore));
}

const Endpoint* WantedPlanner::chooseLoader(const PlannerInput& input, const WaitingFor& waiting)
{
    const ModelProfile* const model = input.profile.find(waiting.target.model);
    if (!model || input.engines.empty())
        return nullptr;
    const auto costAt = [&](const EngineFacts& engine) { return placingCost(input, engine, *model, true); };
    const EngineFacts* best = nullptr;
    Milliseconds least(0);
    for (const EngineFacts& engine : input.engines) {
        const Milliseconds cost = costAt(engine);
        if (best && cost >= least)
            continue;
        best = &engine;
        least = cost;
    }
    Choice& choice = choices_[model->name];
    if (const EngineFacts* const before = factsOf(input.engines, choice.engine)) {
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
        missing -= std::min(missing, holdersOf(name) + loadersOf(input.engines, name));
        if (missing == 0)
            continue;
        // All that are missing at once: a load may take many seconds.
        for (const Endpoint& engine : cheapestFor(input, *model, missing, askedBefore[name])) {
            if (!takeStorePlace(input, engine, *model))
                break;
            Wanted wanted;
            wanted.target.model = name;
            wanted.isCopy = true;
            copyLoaders_[name].insert(engine);
            add(input, engine, wanted);
        }
    }
}

/// Engines without the model, those first where it costs least to place it.
std::vector<Endpoint> WantedPlanner::cheapestFor(
    const PlannerInput& input, const ModelProfile& model, std::size_t most, const std::set<Endpoint>& askedBefore)
{
    std::vector<std::pair<Milliseconds, Endpoint>> costs;
    for (const EngineFacts& engine : input.engines) {
        if (engine.state->find(model.name) || engine.state->loading == model.name)
            continue;
        const Milliseconds cost = placingCost(input, engine, model, false);
        if (cost < catalog::cannotPlace)
            costs.emplace_back(
                cost - (askedBefore.contains(engine.engine) ? changeGain : Milliseconds(0)), engine.engine);
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
    if (!input.isComplete || !input.isDemandKnown)
        return;
    std::vector<std::tuple<std::size_t, std::uint64_t, const ModelProfile*>> missing;
    for (const ModelProfile& model : input.profile.models) {
        const auto engines = static_cast<std::size_t>(std::count_if(input.engines.begin(), input.engines.end(),
            [&](const EngineFacts& engine) { return hasAtHand(engine, model.name); }));
        const std::string& name = model.name.value();
        if (engines < (input.policy.keepsStandbys && model.adapters >= adaptersOfStandby ? standbyEngines : 1))
            missing.emplace_back(engines, policy::mixed(policy::fnv1a(name.data(), name.size())), &model);
    }
    std::sort(missing.begin(), missing.end());
    std::vector<Endpoint> taken;
    for (const auto& [engines, hash, model] : missing) {
        if (storeQueue_.freePlaces() <= taken.size())
            return;
        for (const Endpoint& engine : cheapestFor(input, *model, input.engines.size(), {})) {
            const bool isBusy = !factsOf(input.engines, engine)->state->loading.value().empty()
                || std::find(taken.begin(), taken.end(), engine) != taken.end();
            if (isBusy)
                continue;
            Wanted wanted;
            wanted.target.model = model->name;
            wanted.isPrefetch = true;
            add(input, engine, wanted);
            taken.push_back(engine);
            break;
        }
    }
}

void WantedPlanner::add(const PlannerInput& input, const Endpoint& endpoint, Wanted wanted)
{
    const auto list = lists_.find(endpoint);
    if (list == lists_.end())
        return;
    const EngineFacts* const engine = factsOf(input.engines, endpoint);
    const ModelName& model = wanted.target.model;
    wanted.work = workOf(input, model);
    wanted.rank = rankOf(input, model, endpoint);
    wanted.holders = holdersOf(model);
    const auto inFlight = engine->inFlight.find(wanted.target);
    wanted.inFlight = inFlight == engine->inFlight.end() ? 0 : inFlight->second;
    const auto same = std::find_if(
        list->second.begin(), list->second.end(), [&](const Wanted& other) { return other.target == wanted.target; });
    if (same == list->second.end())
        list->second.push_back(std::move(wanted));
    else if (wanted.isLoad() && same->waiting == 0)
        *same = std::move(wanted);
}

const std::vector<Endpoint>& WantedPlanner::orderOf(const PlannerInput& input, const ModelName& model)
{
    auto& order = orders_[model];
    if (!order.empty())
        return order;
    std::vector<framework::VmName> names;
    for (const EngineFacts& engine : input.engines)
        names.emplace_back(engine.engine.value());
    for (const framework::VmName& name : policy::rendezvousOrder(model.value(), std::move(names)))
        order.emplace_back(name.value());
    return order;
}

std::uint32_t WantedPlanner::rankOf(const PlannerInput& input, const ModelName& model, const Endpoint& endpoint)
{
    const auto& order = orderOf(input, model);
    return static_cast<std::uint32_t>(std::find(order.begin(), order.end(), endpoint) - order.begin());
}

std::optional<Milliseconds> WantedPlanner::soonest(
    const std::vector<EngineFacts>& engines, const WaitingFor& waiting, framework::SteadyTime now) const
{
    std::optional<Milliseconds> least;
    if (!waiting.target.adapter.value().empty())
        return least;
    for (const EngineFacts& engine : engines) {
        const auto expected = expectedAt(engine, waiting.target.model, now);
        if (expected && *expected < catalog::cannotPlace && (!least || *expected < *least))
            least = expected;
    }
    const auto held = heldBack_.find(waiting.target.model);
    return least || held == heldBack_.end() ? least : std::optional(held->second.remaining(now));
}

} // namespace lagoon::forwarding
