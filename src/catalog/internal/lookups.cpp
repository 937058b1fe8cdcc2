#include "catalog/modelweights.h"

#include <algorithm>
#include <utility>

namespace lagoon::catalog {

namespace {

bool isIn(const std::vector<framework::ModelName>& names, const framework::ModelName& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

void ModelProfiles::add(ModelProfile profile)
{
    byName_.emplace(profile.name, profiles_.size());
    profiles_.push_back(std::move(profile));
}

const ModelProfile* ModelProfiles::find(const framework::ModelName& name) const
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? nullptr : &profiles_[found->second];
}

const Service* Configuration::find(const framework::ServiceName& name) const
{
    const auto found
        = std::find_if(services.begin(), services.end(), [&](const Service& service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

std::map<framework::ServiceName, framework::Milliseconds> shortestEventGaps(const Configuration& configuration)
{
    std::map<framework::ServiceName, framework::Milliseconds> gaps;
    for (const Route& route : configuration.routes) {
        if (route.kind != RouteKind::Streaming || route.maxEventGap.count() <= 0)
            continue;
        for (const RouteTarget& target : route.targets) {
            framework::Milliseconds& shortest = gaps.try_emplace(target.service, route.maxEventGap).first->second;
            shortest = std::min(shortest, route.maxEventGap);
        }
    }
    return gaps;
}

bool LoadedModel::has(const framework::AdapterName& adapter) const
{
    return adapter.value().empty() || std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

const LoadedModel* findLoaded(const std::vector<LoadedModel>& held, const framework::ModelName& name)
{
    const auto found
        = std::find_if(held.begin(), held.end(), [&](const LoadedModel& one) { return one.model == name; });
    return found == held.end() ? nullptr : &*found;
}

bool CachedWeights::hasInMemory(const framework::ModelName& name) const { return isIn(memory, name); }

bool CachedWeights::hasOnDisk(const framework::ModelName& name) const { return isIn(disk, name); }

const LoadedModel* EngineState::find(const framework::ModelName& name) const { return findLoaded(held, name); }

bool EngineState::isDraining(const framework::ModelName& name) const { return isIn(draining, name); }

EngineLoad loadOf(const EngineState& state)
{
    EngineLoad load { state.engine, state.running, state.queued, state.usedMemory, state.routers, {}, state.streams,
        state.readingTokens };
    for (const LoadedModel& held : state.held)
        load.held.push_back({ held.work, held.inUse });
    return load;
}

bool applyLoad(EngineState& state, const EngineLoad& load)
{
    if (load.held.size() != state.held.size())
        return false;
    state.running = load.running;
    state.queued = load.queued;
    state.usedMemory = load.usedMemory;
    state.routers = load.routers;
    state.streams = load.streams;
    state.readingTokens = load.readingTokens;
    for (std::size_t index = 0; index < load.held.size(); ++index) {
        state.held[index].work = load.held[index].work;
        state.held[index].inUse = load.held[index].inUse;
    }
    return true;
}

framework::Milliseconds loadTime(const ModelProfile& model, const CachedWeights& cachedWeights)
{
    if (cachedWeights.hasInMemory(model.name))
        return model.loadFromMemory;
    return cachedWeights.hasOnDisk(model.name) ? model.loadFromDisk : model.loadFromStore;
}

MegaBytes weightsOf(const EngineProfile& profile, const LoadedModel& held)
{
    const ModelProfile* const model = profile.find(held.model);
    if (!model)
        return profile.weights;
    return MegaBytes(model->weights.value() + held.adapters.size() * model->adapterWeights.value());
}

} // namespace lagoon::catalog
