#include "forwarding/wantedplanner.h"

#include "policy/modelcopies.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace lagoon::forwarding {

namespace {

using catalog::EngineState;
using catalog::ModelProfile;
using catalog::ModelTarget;
using catalog::Wanted;
using framework::Endpoint;
using framework::Milliseconds;
using framework::ModelName;

/// Among engines that could load as soon as each other, the same one at all routers.
constexpr Milliseconds perRank { 60 };
/// An engine that has been asked is left for another only if that one is so much sooner: a load that has been asked for
/// is often under way already.
constexpr Milliseconds changeGain { 1500 };
/// For an agent to hear and answer before its silence counts as a refusal.
constexpr Milliseconds answerTime { 400 };
/// How long an agent that couldn't place a model isn't asked again: what holds its places changes within seconds, and
/// what it says of a model ends as soon as it isn't asked any more.
constexpr Milliseconds refusalHolds { 1500 };
/// Store loads that run at once without slowing each other. A guess between what today's deployments allow.
constexpr std::size_t storePlaces = 4;

bool isIn(const std::vector<ModelName>& names, const ModelName& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isHeld(const EngineFacts& engine, const ModelName& model)
{
    return engine.state->find(model) && !engine.state->isLeaving(model);
}

bool hasAtHand(const EngineFacts& engine, const ModelName& model)
{
    return engine.state->find(model) || engine.state->loading == model || isIn(engine.state->atHand.memory, model)
        || isIn(engine.state->atHand.disk, model);
}

std::optional<Milliseconds> expectedAt(const EngineFacts& engine, const ModelName& model, framework::SteadyTime now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - engine.stateAt);
    for (const EngineState::Expected& expected : engine.state->expected) {
        if (expected.model != model)
            continue;
        return expected.within >= catalog::cannotPlace ? catalog::cannotPlace
                                                       : std::max(Milliseconds(0), expected.within - age);
    }
    return std::nullopt;
}

Milliseconds loadTime(const EngineFacts& engine, const ModelProfile& model)
{
    if (isIn(engine.state->atHand.memory, model.name))
        return model.loadFromMemory;
    return isIn(engine.state->atHand.disk, model.name) ? model.loadFromDisk : model.loadFromStore;
}

/// Until the engine would have loaded the model, if it were asked now.
Milliseconds loadCost(const EngineFacts& engine, const ModelProfile& model, framework::SteadyTime now)
{
    if (const auto expected = expectedAt(engine, model.name, now))
        return *expected;
    Milliseconds queue(0);
    for (const EngineState::Expected& other : engine.state->expected) {
        if (other.within < catalog::cannotPlace)
            queue = std::max(queue, other.within);
    }
    return queue + loadTime(engine, model);
}

std::uint32_t holdersOf(const std::vector<EngineFacts>& engines, const ModelName& model)
{
    return static_cast<std::uint32_t>(std::count_if(
        engines.begin(), engines.end(), [&](const EngineFacts& engine) { return isHeld(engine, model); }));
}

std::uint32_t loadersOf(const std::vector<EngineFacts>& engines, const ModelName& model)
{
    return static_cast<std::uint32_t>(std::count_if(
        engines.begin(), engines.end(), [&](const EngineFacts& engine) { return engine.state->loading == model; }));
}

const EngineFacts* factsOf(const PlannerInput& input, const Endpoint& endpoint)
{
    const auto found = std::find_if(input.engines.begin(), input.engines.end(),
        [&](const EngineFacts& engine) { return engine.engine == endpoint; });
    return found == input.engines.end() ? nullptr : &*found;
}

double workOf(const PlannerInput& input, const ModelName& model)
{
    const auto found = input.work.find(model);
    return found == input.work.end() ? 0 : found->second;
}

} // namespace

std::map<Endpoint, catalog::WantedList> WantedPlanner::plan(const PlannerInput& input)
{
    lists_.clear();
    for (const EngineFacts& engine : input.engines)
        lists_[engine.engine];
    forgetOrdersOfOtherEngines(input);
    noteRefusals(input);
    planHeld(input);
    planWaiting(input);
    planCopies(input);
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
    std::map<ModelName, Choice> kept;
    for (const WaitingFor& waiting : input.waiting) {
        Wanted wanted;
        wanted.target = waiting.target;
        wanted.waiting = waiting.waiting;
        wanted.earliest = waiting.earliest;
        wanted.priority = waiting.priority;
        if (!waiting.at.value().empty()) {
            add(input, waiting.at, wanted);
            continue;
        }
        if (const Endpoint* const loader = chooseLoader(input, waiting)) {
            add(input, *loader, wanted);
            kept[waiting.target.model] = choices_[waiting.target.model];
        }
    }
    choices_ = std::move(kept);
}

const Endpoint* WantedPlanner::chooseLoader(const PlannerInput& input, const WaitingFor& waiting)
{
    const ModelProfile* const model = input.profile.find(waiting.target.model);
    if (!model || input.engines.empty())
        return nullptr;
    const auto costAt = [&](const EngineFacts& engine) {
        const Milliseconds cost
            = hasRefused(model->name, engine.engine) ? catalog::cannotPlace : loadCost(engine, *model, input.now);
        return cost + perRank * rankOf(input, model->name, engine.engine);
    };
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
    const auto before = std::find_if(input.engines.begin(), input.engines.end(),
        [&](const EngineFacts& engine) { return engine.engine == choice.engine; });
    if (before != input.engines.end()) {
        const bool isSilent = !expectedAt(*before, model->name, input.now) && input.now - choice.since > answerTime;
        if (!isSilent && costAt(*before) <= least + changeGain)
            return &choice.engine;
    }
    choice = { best->engine, input.now };
    return &choice.engine;
}

/// Busy models need more than one engine. The first engines of the model's order take it. How busy a model is comes from
/// the agents, which hear it from all routers: one router alone sees too few requests to tell.
void WantedPlanner::planCopies(const PlannerInput& input)
{
    std::map<ModelName, double> workOfAll;
    for (const EngineFacts& engine : input.engines) {
        for (const catalog::HeldModel& held : engine.state->held)
            workOfAll[held.model] = std::max(workOfAll[held.model], held.work);
    }
    for (const auto& [model, work] : workOfAll) {
        if (!policy::isBusyModel(work))
            continue;
        std::uint32_t copies = policy::wantedCopies(work);
        copies -= std::min(copies, holdersOf(input.engines, model) + loadersOf(input.engines, model));
        // The first of the order that has room, all that are missing at once: a load may take many seconds.
        for (const Endpoint& endpoint : orderOf(input, model)) {
            if (copies == 0)
                break;
            const EngineFacts& engine = *factsOf(input, endpoint);
            if (isHeld(engine, model) || engine.state->loading == model || hasRefused(model, endpoint))
                continue;
            Wanted wanted;
            wanted.target.model = model;
            wanted.isCopy = true;
            add(input, endpoint, wanted);
            --copies;
        }
    }
}

/// A model that no engine has at hand costs its first caller a load from the store, mostly longer than callers find
/// acceptable. So each is fetched once while nobody waits for it, a few at a time.
void WantedPlanner::planPrefetch(const PlannerInput& input)
{
    if (!input.isComplete)
        return;
    std::size_t loading = 0;
    for (const EngineFacts& engine : input.engines)
        loading += engine.state->loadsFromStore ? 1 : 0;
    std::vector<std::pair<std::uint64_t, const ModelProfile*>> missing;
    for (const ModelProfile& model : input.profile.models) {
        const bool isSomewhere = std::any_of(input.engines.begin(), input.engines.end(),
            [&](const EngineFacts& engine) { return hasAtHand(engine, model.name); });
        const std::string& name = model.name.value();
        if (!isSomewhere)
            missing.emplace_back(policy::mixed(policy::fnv1a(name.data(), name.size())), &model);
    }
    std::sort(missing.begin(), missing.end());
    std::vector<Endpoint> taken;
    for (const auto& [hash, model] : missing) {
        if (loading + taken.size() >= storePlaces)
            return;
        for (const Endpoint& endpoint : orderOf(input, model->name)) {
            const bool isBusy = !factsOf(input, endpoint)->state->loading.value().empty()
                || std::find(taken.begin(), taken.end(), endpoint) != taken.end();
            if (isBusy || hasRefused(model->name, endpoint))
                continue;
            Wanted wanted;
            wanted.target.model = model->name;
            wanted.isPrefetch = true;
            add(input, endpoint, wanted);
            taken.push_back(endpoint);
            break;
        }
    }
}

void WantedPlanner::add(const PlannerInput& input, const Endpoint& endpoint, Wanted wanted)
{
    const auto list = lists_.find(endpoint);
    if (list == lists_.end())
        return;
    const auto engine = std::find_if(
        input.engines.begin(), input.engines.end(), [&](const EngineFacts& facts) { return facts.engine == endpoint; });
    const ModelName& model = wanted.target.model;
    wanted.work = workOf(input, model);
    wanted.rank = rankOf(input, model, endpoint);
    wanted.holders = holdersOf(input.engines, model);
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
    const std::vector<EngineFacts>& engines, const ModelName& model, framework::SteadyTime now)
{
    std::optional<Milliseconds> least;
    for (const EngineFacts& engine : engines) {
        const auto expected = expectedAt(engine, model, now);
        if (expected && *expected < catalog::cannotPlace && (!least || *expected < *least))
            least = expected;
    }
    return least;
}

} // namespace lagoon::forwarding
