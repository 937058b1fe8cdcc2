#include "engines/placementplanner.h"

#include "catalog/modelweights.h"
#include "policy/modelcopies.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace lagoon::engines {

namespace {

using catalog::LoadedModel;
using catalog::MegaBytes;
using catalog::ModelProfile;
using catalog::ModelTarget;
using catalog::TargetDemand;
using framework::Deadline;
using framework::Milliseconds;
using framework::ModelName;
using framework::SteadyTime;

/// A loaded model stays for at least this time, so that the requests that waited for it arrive before it is unloaded:
/// routers receive the new state and send them within a few network delays.
constexpr Milliseconds minResidence { 300 };
/// A model is evicted for a prefetch only after it has been idle for longer than this, since more requests for it are
/// likely until then and no request waits for the prefetched one.
constexpr Milliseconds minIdleTime { 2000 };
/// Maximum number of adapter loads in progress at one engine.
constexpr std::size_t maxLoadingAdapters = 4;
/// Time from the end of a model's requests until its memory is free.
constexpr Milliseconds unloadTime { 40 };
/// Expected remaining time of an order in progress whose end isn't known, for example after a restart of this process.
constexpr Milliseconds unknownOrderTime { 1000 };

TargetDemand demandOf(const PlacementInput& input, const ModelTarget& target)
{
    const auto found = input.demand.find(target);
    if (found != input.demand.end())
        return found->second;
    TargetDemand none;
    none.target = target;
    return none;
}

std::uint32_t usesOf(const PlacementInput& input, const ModelName& model)
{
    return engines::usesOf(input.demand, model);
}

DrainTimeEstimator::Uses usesIn(const PlacementInput& input)
{
    return [&input](const ModelName& model) { return usesOf(input, model); };
}

/// Whether the demand is for a copy of a model whose engines are overloaded. Such a copy takes precedence. Prevents a
/// busy model from staying on one engine: where all other models were in use, none was evicted for the copy, and loads
/// that single callers waited for went first, while the busy model's callers were refused for seconds.
bool isOverloadedCopy(const TargetDemand& demand)
{
    return demand.isCopy && demand.waiting == 0 && policy::isOverloaded(demand.work, demand.holders);
}

MegaBytes adapterSize(const PlacementInput& input, const ModelName& model)
{
    const ModelProfile* const profile = input.profile.find(model);
    return profile ? profile->adapterWeights : MegaBytes(0);
}

std::uint64_t usedWeights(const PlacementInput& input)
{
    std::uint64_t used = 0;
    for (const LoadedModel& held : input.report.held)
        used += catalog::weightsOf(input.profile, held).value();
    for (const ModelTarget& adapter : input.report.loadingAdapters)
        used += adapterSize(input, adapter.model).value();
    return used;
}

std::size_t usedAdapterSlots(const PlacementInput& input)
{
    std::size_t slots = input.report.loadingAdapters.size();
    for (const LoadedModel& held : input.report.held)
        slots += held.adapters.size();
    return slots;
}

bool fits(const PlacementInput& input, std::uint64_t used, std::uint64_t added)
{
    return used + added <= input.profile.weights.value();
}

} // namespace

std::uint32_t usesOf(const std::map<ModelTarget, TargetDemand>& demand, const ModelName& model)
{
    std::uint32_t uses = 0;
    for (const auto& [target, one] : demand) {
        if (target.model == model)
            uses += one.inFlight + one.waiting;
    }
    return uses;
}

PlacementPlanner::PlacementPlanner(std::unique_ptr<policy::ILoadOrder> loadOrder)
    : loadOrder_(std::move(loadOrder))
{
}

void PlacementPlanner::reset()
{
    uses_.clear();
    loading_ = ModelName();
    unloading_ = ModelName();
    loadsFromStore_ = false;
    loadedBy_ = Deadline();
    drains_.reset();
}

PlacementDecision PlacementPlanner::decide(const PlacementInput& input)
{
    noteUses(input);
    const DrainTimeEstimator::Uses uses = usesIn(input);
    drains_.noteDrained(uses, input.now);
    PlacementDecision decision;
    if (!input.report.isBusy) {
        loading_ = ModelName();
        unloading_ = ModelName();
        loadsFromStore_ = false;
    }
    decision.order = adapterOrder(input);
    if (decision.order)
        decision.reason = "requests wait for adapter";
    Milliseconds plannedTime = untilFree(input);
    if (!loading_.value().empty())
        decision.expected.push_back({ loading_, plannedTime });
    for (const TargetDemand& demand : missingModels(input))
        planModel(input, demand, decision, plannedTime);
    if (!unloading_.value().empty())
        decision.draining.push_back(unloading_);
    drains_.noteDraining(decision.draining, uses, input.now);
    return decision;
}

void PlacementPlanner::noteUses(const PlacementInput& input)
{
    std::set<ModelTarget> held;
    for (const LoadedModel& model : input.report.held) {
        held.insert({ model.model, {} });
        for (const framework::AdapterName& adapter : model.adapters)
            held.insert({ model.model, adapter });
    }
    std::erase_if(uses_, [&](const auto& entry) { return !held.contains(entry.first); });
    for (const ModelTarget& target : held)
        uses_.try_emplace(target, Use { input.now, input.now });
    for (const auto& [target, demand] : input.demand) {
        const auto use = uses_.find(target);
        if (use != uses_.end() && demand.inFlight + demand.waiting > 0)
            use->second.lastUsed = input.now;
    }
    std::erase_if(waitingSince_, [&](const auto& entry) { return demandOf(input, { entry.first, {} }).waiting == 0; });
    for (const auto& [target, demand] : input.demand) {
        if (target.adapter.value().empty() && demand.waiting > 0)
            waitingSince_.try_emplace(target.model, input.now);
    }
}

std::optional<Order> PlacementPlanner::adapterOrder(const PlacementInput& input) const
{
    // While an engine carries out an order for a model it accepts no orders for adapters.
    if (input.report.isBusy)
        return std::nullopt;
    for (const auto& [target, demand] : input.demand) {
        if (target.adapter.value().empty() || demand.waiting == 0)
            continue;
        const LoadedModel* const model = catalog::findLoaded(input.report.held, target.model);
        const auto& adapterLoads = input.report.loadingAdapters;
        if (!model || model->has(target.adapter)
            || std::find(adapterLoads.begin(), adapterLoads.end(), target) != adapterLoads.end())
            continue;
        const bool hasFreeSlot = usedAdapterSlots(input) < input.profile.adapters
            && fits(input, usedWeights(input), adapterSize(input, target.model).value());
        if (hasFreeSlot && adapterLoads.size() < maxLoadingAdapters)
            return Order { OrderKind::Load, target };
        if (hasFreeSlot)
            continue;
        if (const auto idle = idleAdapter(input))
            return Order { OrderKind::Unload, *idle };
    }
    return std::nullopt;
}

/// Returns the least recently used adapter that isn't in use; std::nullopt if all are in use.
std::optional<ModelTarget> PlacementPlanner::idleAdapter(const PlacementInput& input) const
{
    std::optional<ModelTarget> oldest;
    SteadyTime oldestUse {};
    for (const auto& [target, use] : uses_) {
        const TargetDemand demand = demandOf(input, target);
        if (target.adapter.value().empty() || demand.inFlight + demand.waiting > 0)
            continue;
        if (oldest && use.lastUsed >= oldestUse)
            continue;
        oldest = target;
        oldestUse = use.lastUsed;
    }
    return oldest;
}

std::vector<TargetDemand> PlacementPlanner::missingModels(const PlacementInput& input) const
{
    std::vector<TargetDemand> all;
    std::vector<TargetDemand> awaited;
    std::vector<TargetDemand> copies;
    std::vector<TargetDemand> prefetched;
    for (const auto& [target, demand] : input.demand) {
        const bool isMissing = !catalog::findLoaded(input.report.held, target.model) && loading_ != target.model;
        if (!target.adapter.value().empty() || !isMissing || !input.profile.find(target.model))
            continue;
        if (isOverloadedCopy(demand))
            all.push_back(demand);
        else if (demand.waiting > 0)
            awaited.push_back(demand);
        else if (demand.isPrefetch)
            prefetched.push_back(demand);
        else if (demand.isCopy)
            copies.push_back(demand);
    }
    const std::vector<TargetDemand> ordered = byValue(input, awaited);
    all.insert(all.end(), ordered.begin(), ordered.end());
    all.insert(all.end(), copies.begin(), copies.end());
    all.insert(all.end(), prefetched.begin(), prefetched.end());
    return all;
}

std::vector<TargetDemand> PlacementPlanner::byValue(
    const PlacementInput& input, const std::vector<TargetDemand>& awaited) const
{
    std::vector<policy::PendingLoad> pending;
    for (const TargetDemand& demand : awaited) {
        const ModelProfile& model = *input.profile.find(demand.target.model);
        pending.push_back({ model.name.value(), demand.earliest, demand.waiting, waitingSince_.at(model.name),
            catalog::loadTime(model, input.report.cachedWeights), demand.priority });
    }
    std::vector<TargetDemand> ordered;
    for (const std::size_t index : policy::loadSequence(*loadOrder_, pending, input.now))
        ordered.push_back(awaited[index]);
    return ordered;
}

/// Returns the expected time until the order in progress has ended; 0 if there is none.
Milliseconds PlacementPlanner::untilFree(const PlacementInput& input) const
{
    if (!input.report.isBusy)
        return Milliseconds(0);
    if (loading_.value().empty())
        return unknownOrderTime;
    // An overdue load is expected to take as long again as it is overdue.
    if (loadedBy_.hasPassed(input.now))
        return std::max(unloadTime, std::chrono::duration_cast<Milliseconds>(input.now - loadedBy_.at()));
    return loadedBy_.remaining(input.now);
}

void PlacementPlanner::planModel(
    const PlacementInput& input, const TargetDemand& demand, PlacementDecision& decision, Milliseconds& plannedTime)
{
    const ModelName& model = demand.target.model;
    const auto victims = victimsFor(input, demand);
    if (!victims) {
        decision.expected.push_back({ model, catalog::loadImpossible });
        return;
    }
    const bool isFirst = !decision.order && !input.report.isBusy && decision.draining.empty();
    plannedTime += catalog::loadTime(*input.profile.find(model), input.report.cachedWeights)
        + unloadTime * victims->size() + drains_.expected(*victims, usesIn(input), input.now);
    decision.expected.push_back({ model, plannedTime });
    if (!isFirst)
        return;
    decision.reason = (demand.waiting > 0         ? "requests waiting: " + std::to_string(demand.waiting)
                              : demand.isPrefetch ? "weights cached at no engine"
                                                  : "additional copy")
        + std::string(", for ") + model.value();
    if (victims->empty()) {
        decision.order = Order { OrderKind::Load, { model, {} } };
        return;
    }
    decision.draining = *victims;
    for (const ModelName& victim : *victims) {
        if (usesOf(input, victim) > 0)
            continue;
        decision.order = Order { OrderKind::Unload, { victim, {} } };
        return;
    }
}

/// Returns the models to evict for the load; empty if the model fits without evictions, std::nullopt if it can't be
/// loaded.
std::optional<std::vector<ModelName>> PlacementPlanner::victimsFor(
    const PlacementInput& input, const TargetDemand& demand) const
{
    const std::uint64_t needed = input.profile.find(demand.target.model)->weights.value();
    std::uint64_t used = usedWeights(input);
    std::vector<ModelName> victims;
    if (fits(input, used, needed))
        return victims;
    // The fewer requests a model has to finish, the sooner its memory is free.
    std::vector<std::tuple<std::uint32_t, double, SteadyTime, const LoadedModel*>> candidates;
    for (const LoadedModel& held : input.report.held) {
        if (!mayEvict(input, held.model, demand))
            continue;
        candidates.emplace_back(
            usesOf(input, held.model), retentionValue(input, held.model), uses_.at({ held.model, {} }).lastUsed, &held);
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

bool PlacementPlanner::mayEvict(const PlacementInput& input, const ModelName& held, const TargetDemand& requested) const
{
    const Use& use = uses_.at({ held, {} });
    if (input.now - use.loadedSince < minResidence)
        return false;
    const TargetDemand demand = demandOf(input, { held, {} });
    const bool isSurplus = demand.holders > policy::desiredCopies(demand.work);
    // A busy model may lose one of several copies, but never its only one.
    if (requested.waiting > 0)
        return isSurplus || !policy::isBusyModel(demand.work) || demand.holders > 1;
    if (isOverloadedCopy(requested))
        return isSurplus || !policy::isBusyModel(demand.work);
    if (usesOf(input, held) > 0)
        return false;
    if (requested.isPrefetch)
        return isSurplus || (!policy::isBusyModel(demand.work) && input.now - use.lastUsed > minIdleTime);
    return isSurplus || !policy::isBusyModel(demand.work);
}

/// Returns the value of keeping the model loaded: 0 if more engines than needed have it, otherwise the work of its
/// requests per engine.
double PlacementPlanner::retentionValue(const PlacementInput& input, const ModelName& held) const
{
    const TargetDemand demand = demandOf(input, { held, {} });
    if (demand.holders > policy::desiredCopies(demand.work))
        return 0;
    return demand.work / std::max<std::uint32_t>(1, demand.holders);
}

void PlacementPlanner::didOrder(const Order& order, const PlacementInput& input)
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
    const Milliseconds takes = catalog::loadTime(*model, input.report.cachedWeights);
    loading_ = model->name;
    loadsFromStore_ = takes == model->loadFromStore;
    loadedBy_ = Deadline::after(input.now, takes);
}

} // namespace lagoon::engines
