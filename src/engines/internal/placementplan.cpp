#include "engines/placementplan.h"

#include "catalog/modelweights.h"
#include "policy/modelcopies.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace lagoon::engines {

namespace {

using catalog::HeldModel;
using catalog::MegaBytes;
using catalog::ModelProfile;
using catalog::ModelTarget;
using catalog::Wanted;
using framework::Deadline;
using framework::Milliseconds;
using framework::ModelName;
using framework::SteadyTime;

/// A model that has just been loaded isn't unloaded before those who waited for it have come: the routers hear of it
/// and send within a few network delays.
constexpr Milliseconds residence { 300 };
/// A model whose requests ended this recently has probably more on their way, when nobody waits for another.
constexpr Milliseconds settledAfter { 2000 };
/// Loads of adapters that may be under way at one engine.
constexpr std::size_t adaptersComing = 4;
/// Between the end of a model's requests and its place being free.
constexpr Milliseconds unloadTime { 40 };
/// While an order is under way whose end isn't known, as after this process has started anew.
constexpr Milliseconds unknownOrder { 1000 };

Wanted wantedOf(const PlacementInput& input, const ModelTarget& target)
{
    const auto found = input.wanted.find(target);
    if (found != input.wanted.end())
        return found->second;
    Wanted none;
    none.target = target;
    return none;
}

std::uint32_t usesOf(const PlacementInput& input, const ModelName& model)
{
    return engines::usesOf(input.wanted, model);
}

DrainWatch::Uses usesIn(const PlacementInput& input)
{
    return [&input](const ModelName& model) { return usesOf(input, model); };
}

/// Guards against a busy model that stays on one engine: where all other models are in use, none made way for its copy,
/// and loads that single callers wait for went before it, while its own callers were refused for seconds.
bool isStrainedCopy(const Wanted& wanted)
{
    return wanted.isCopy && wanted.waiting == 0 && policy::isOverloaded(wanted.work, wanted.holders);
}

MegaBytes adapterSize(const PlacementInput& input, const ModelName& model)
{
    const ModelProfile* const profile = input.profile.find(model);
    return profile ? profile->adapterWeights : MegaBytes(0);
}

std::uint64_t usedWeights(const PlacementInput& input)
{
    std::uint64_t used = 0;
    for (const HeldModel& held : input.report.held)
        used += catalog::weightsOf(input.profile, held).value();
    for (const ModelTarget& coming : input.report.comingAdapters)
        used += adapterSize(input, coming.model).value();
    return used;
}

std::size_t adapterPlaces(const PlacementInput& input)
{
    std::size_t places = input.report.comingAdapters.size();
    for (const HeldModel& held : input.report.held)
        places += held.adapters.size();
    return places;
}

bool fits(const PlacementInput& input, std::uint64_t used, std::uint64_t added)
{
    return used + added <= input.profile.weights.value();
}

} // namespace

std::uint32_t usesOf(const std::map<ModelTarget, Wanted>& wanted, const ModelName& model)
{
    std::uint32_t uses = 0;
    for (const auto& [target, one] : wanted) {
        if (target.model == model)
            uses += one.inFlight + one.waiting;
    }
    return uses;
}

PlacementPlan::PlacementPlan(std::unique_ptr<policy::ILoadOrder> loadOrder)
    : loadOrder_(std::move(loadOrder))
{
}

void PlacementPlan::reset()
{
    uses_.clear();
    loading_ = ModelName();
    unloading_ = ModelName();
    loadsFromStore_ = false;
    loadedBy_ = Deadline();
    drains_.reset();
}

PlacementDecision PlacementPlan::decide(const PlacementInput& input)
{
    noteUses(input);
    const DrainWatch::Uses uses = usesIn(input);
    drains_.noteDrained(uses, input.now);
    PlacementDecision decision;
    if (!input.report.isBusy) {
        loading_ = ModelName();
        unloading_ = ModelName();
        loadsFromStore_ = false;
    }
    decision.order = adapterOrder(input);
    if (decision.order)
        decision.reason = "adapter waited for";
    Milliseconds soFar = untilFree(input);
    if (!loading_.value().empty())
        decision.expected.push_back({ loading_, soFar });
    for (const Wanted& wanted : toLoad(input))
        planModel(input, wanted, decision, soFar);
    if (!unloading_.value().empty())
        decision.leaving.push_back(unloading_);
    drains_.noteLeaving(decision.leaving, uses, input.now);
    return decision;
}

void PlacementPlan::noteUses(const PlacementInput& input)
{
    std::set<ModelTarget> held;
    for (const HeldModel& model : input.report.held) {
        held.insert({ model.model, {} });
        for (const framework::AdapterName& adapter : model.adapters)
            held.insert({ model.model, adapter });
    }
    std::erase_if(uses_, [&](const auto& entry) { return !held.contains(entry.first); });
    for (const ModelTarget& target : held)
        uses_.try_emplace(target, Use { input.now, input.now });
    for (const auto& [target, wanted] : input.wanted) {
        const auto use = uses_.find(target);
        if (use != uses_.end() && wanted.inFlight + wanted.waiting > 0)
            use->second.lastUsed = input.now;
    }
    std::erase_if(waitingSince_, [&](const auto& entry) { return wantedOf(input, { entry.first, {} }).waiting == 0; });
    for (const auto& [target, wanted] : input.wanted) {
        if (target.adapter.value().empty() && wanted.waiting > 0)
            waitingSince_.try_emplace(target.model, input.now);
    }
}

std::optional<Order> PlacementPlan::adapterOrder(const PlacementInput& input) const
{
    // While an engine carries out an order of a model it takes none of an adapter either.
    if (input.report.isBusy)
        return std::nullopt;
    for (const auto& [target, wanted] : input.wanted) {
        if (target.adapter.value().empty() || wanted.waiting == 0)
            continue;
        const HeldModel* const model = catalog::findHeld(input.report.held, target.model);
        const auto& coming = input.report.comingAdapters;
        if (!model || model->has(target.adapter) || std::find(coming.begin(), coming.end(), target) != coming.end())
            continue;
        const bool hasPlace = adapterPlaces(input) < input.profile.adapters
            && fits(input, usedWeights(input), adapterSize(input, target.model).value());
        if (hasPlace && coming.size() < adaptersComing)
            return Order { OrderKind::Load, target };
        if (hasPlace)
            continue;
        if (const auto idle = idleAdapter(input))
            return Order { OrderKind::Unload, *idle };
    }
    return std::nullopt;
}

/// The adapter that was used longest ago, and isn't now.
std::optional<ModelTarget> PlacementPlan::idleAdapter(const PlacementInput& input) const
{
    std::optional<ModelTarget> oldest;
    SteadyTime oldestUse {};
    for (const auto& [target, use] : uses_) {
        const Wanted wanted = wantedOf(input, target);
        if (target.adapter.value().empty() || wanted.inFlight + wanted.waiting > 0)
            continue;
        if (oldest && use.lastUsed >= oldestUse)
            continue;
        oldest = target;
        oldestUse = use.lastUsed;
    }
    return oldest;
}

std::vector<Wanted> PlacementPlan::toLoad(const PlacementInput& input) const
{
    std::vector<Wanted> all;
    std::vector<Wanted> waited;
    std::vector<Wanted> copies;
    std::vector<Wanted> prefetched;
    for (const auto& [target, wanted] : input.wanted) {
        const bool isMissing = !catalog::findHeld(input.report.held, target.model) && loading_ != target.model;
        if (!target.adapter.value().empty() || !isMissing || !input.profile.find(target.model))
            continue;
        if (isStrainedCopy(wanted))
            all.push_back(wanted);
        else if (wanted.waiting > 0)
            waited.push_back(wanted);
        else if (wanted.isPrefetch)
            prefetched.push_back(wanted);
        else if (wanted.isCopy)
            copies.push_back(wanted);
    }
    const std::vector<Wanted> ordered = byValue(input, waited);
    all.insert(all.end(), ordered.begin(), ordered.end());
    all.insert(all.end(), copies.begin(), copies.end());
    all.insert(all.end(), prefetched.begin(), prefetched.end());
    return all;
}

std::vector<Wanted> PlacementPlan::byValue(const PlacementInput& input, const std::vector<Wanted>& waited) const
{
    std::vector<policy::PendingLoad> pending;
    for (const Wanted& wanted : waited) {
        const ModelProfile& model = *input.profile.find(wanted.target.model);
        pending.push_back({ model.name.value(), wanted.earliest, wanted.waiting, waitingSince_.at(model.name),
            catalog::loadTime(model, input.report.atHand), wanted.priority });
    }
    std::vector<Wanted> ordered;
    for (const std::size_t index : policy::loadSequence(*loadOrder_, pending, input.now))
        ordered.push_back(waited[index]);
    return ordered;
}

/// Until an order that is under way has ended.
Milliseconds PlacementPlan::untilFree(const PlacementInput& input) const
{
    if (!input.report.isBusy)
        return Milliseconds(0);
    if (loading_.value().empty())
        return unknownOrder;
    // One that takes longer than it should is thought to need as long again as it has taken too long.
    if (loadedBy_.hasPassed(input.now))
        return std::max(unloadTime, std::chrono::duration_cast<Milliseconds>(input.now - loadedBy_.at()));
    return loadedBy_.remaining(input.now);
}

void PlacementPlan::planModel(
    const PlacementInput& input, const Wanted& wanted, PlacementDecision& decision, Milliseconds& soFar)
{
    const ModelName& model = wanted.target.model;
    const auto victims = victimsFor(input, wanted);
    if (!victims) {
        decision.expected.push_back({ model, catalog::cannotPlace });
        return;
    }
    const bool isFirst = !decision.order && !input.report.isBusy && decision.leaving.empty();
    soFar += catalog::loadTime(*input.profile.find(model), input.report.atHand) + unloadTime * victims->size()
        + drains_.expected(*victims, usesIn(input), input.now);
    decision.expected.push_back({ model, soFar });
    if (!isFirst)
        return;
    decision.reason = (wanted.waiting > 0         ? "waited for by " + std::to_string(wanted.waiting)
                              : wanted.isPrefetch ? "nowhere at hand"
                                                  : "another copy")
        + std::string(", for ") + model.value();
    if (victims->empty()) {
        decision.order = Order { OrderKind::Load, { model, {} } };
        return;
    }
    decision.leaving = *victims;
    for (const ModelName& victim : *victims) {
        if (usesOf(input, victim) > 0)
            continue;
        decision.order = Order { OrderKind::Unload, { victim, {} } };
        return;
    }
}

/// What has to go for the model; empty if it fits as it is, nothing if it can't be placed.
std::optional<std::vector<ModelName>> PlacementPlan::victimsFor(const PlacementInput& input, const Wanted& wanted) const
{
    const std::uint64_t needed = input.profile.find(wanted.target.model)->weights.value();
    std::uint64_t used = usedWeights(input);
    std::vector<ModelName> victims;
    if (fits(input, used, needed))
        return victims;
    // The fewer requests have to end first, the sooner the place is free.
    std::vector<std::tuple<std::uint32_t, double, SteadyTime, const HeldModel*>> candidates;
    for (const HeldModel& held : input.report.held) {
        if (!mayMakeWay(input, held.model, wanted))
            continue;
        candidates.emplace_back(
            usesOf(input, held.model), missed(input, held.model), uses_.at({ held.model, {} }).lastUsed, &held);
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto& [uses, value, lastUsed, held] : candidates) {
        victims.push_back(held->model);
        used -= std::min(used, catalog::weightsOf(input.profile, *held).value());
        if (fits(input, used, needed))
            return victims;
    }
    return std::nullopt;
}

bool PlacementPlan::mayMakeWay(const PlacementInput& input, const ModelName& held, const Wanted& loaded) const
{
    const Use& use = uses_.at({ held, {} });
    if (input.now - use.since < residence)
        return false;
    const Wanted wanted = wantedOf(input, { held, {} });
    const bool isSurplus = wanted.holders > policy::desiredCopies(wanted.work);
    // A busy model may lose one of several copies, never its only one.
    if (loaded.waiting > 0)
        return isSurplus || !policy::isBusyModel(wanted.work) || wanted.holders > 1;
    if (isStrainedCopy(loaded))
        return isSurplus || !policy::isBusyModel(wanted.work);
    if (usesOf(input, held) > 0)
        return false;
    if (loaded.isPrefetch)
        return isSurplus || (!policy::isBusyModel(wanted.work) && input.now - use.lastUsed > settledAfter);
    return isSurplus || !policy::isBusyModel(wanted.work);
}

/// How much the model would be missed here: nothing where enough others hold it, else by its requests' work.
double PlacementPlan::missed(const PlacementInput& input, const ModelName& held) const
{
    const Wanted wanted = wantedOf(input, { held, {} });
    if (wanted.holders > policy::desiredCopies(wanted.work))
        return 0;
    return wanted.work / std::max<std::uint32_t>(1, wanted.holders);
}

void PlacementPlan::didOrder(const Order& order, const PlacementInput& input)
{
    if (!order.target.adapter.value().empty())
        return;
    if (order.kind == OrderKind::Unload) {
        unloading_ = order.target.model;
        return;
    }
    const ModelProfile* const model = input.profile.find(order.target.model);
    if (!model)
        return;
    const Milliseconds takes = catalog::loadTime(*model, input.report.atHand);
    loading_ = model->name;
    loadsFromStore_ = takes == model->loadFromStore;
    loadedBy_ = Deadline::after(input.now, takes);
}

} // namespace lagoon::engines
