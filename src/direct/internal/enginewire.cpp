#include "direct/internal/enginewire.h"

#include <algorithm>

namespace lagoon::direct {

namespace {

using catalog::EngineState;
using framework::Milliseconds;

std::uint32_t wireTime(Milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

/// Bounds a number of a faulty sender: work is converted to numbers of engines.
double readWork(float work)
{
    constexpr float maxWork = 1e6F;
    return work > 0 ? std::min(work, maxWork) : 0;
}

template <typename Name> std::vector<std::string> texts(const std::vector<Name>& names)
{
    std::vector<std::string> result;
    for (const Name& name : names)
        result.push_back(name.value());
    return result;
}

template <typename Name> std::vector<Name> names(const std::vector<std::string>& texts)
{
    return { texts.begin(), texts.end() };
}

} // namespace

wire::Message toWire(const EngineState& state)
{
    wire::fb::EngineStateT body;
    body.engine = state.engine.value();
    body.takes_evidence = true;
    body.keeps_origins = true;
    body.grants_permits = true;
    body.keeps_quotas = true;
    body.sums_use = true;
    body.started_ms = state.started ? state.started->value() : 0;
    for (const catalog::LoadedModel& held : state.held) {
        auto model = std::make_unique<wire::fb::HeldModelT>();
        model->model = held.model.value();
        model->version = held.version;
        model->adapters = texts(held.adapters);
        model->is_leaving = state.isDraining(held.model);
        model->work = static_cast<float>(held.work);
        model->in_use = held.inUse;
        body.held.push_back(std::move(model));
    }
    body.in_memory = texts(state.cachedWeights.memory);
    body.on_disk = texts(state.cachedWeights.disk);
    body.loading = state.loading.value();
    body.loads_from_store = state.loadsFromStore;
    body.running = state.running;
    body.queued = state.queued;
    body.used_tokens = state.usedMemory.value();
    body.total_tokens = state.memory.value();
    body.streams = state.streams;
    body.reading_tokens = state.readingTokens.value();
    body.routers = state.routers;
    for (const EngineState::Expected& expected : state.expected) {
        auto model = std::make_unique<wire::fb::ExpectedModelT>();
        model->model = expected.model.value();
        model->within_ms = wireTime(expected.within);
        body.expected.push_back(std::move(model));
    }
    return wire::message(std::move(body));
}

EngineState fromWire(const wire::fb::EngineStateT& body)
{
    EngineState state;
    state.engine = framework::Endpoint(body.engine);
    if (body.started_ms != 0)
        state.started = catalog::StartTime(body.started_ms);
    for (const auto& model : body.held) {
        const framework::ModelName name(model->model);
        state.held.push_back({ name, model->version, names<framework::AdapterName>(model->adapters),
            readWork(model->work), model->in_use });
        if (model->is_leaving)
            state.draining.push_back(name);
    }
    state.cachedWeights = { names<framework::ModelName>(body.in_memory), names<framework::ModelName>(body.on_disk) };
    state.loading = framework::ModelName(body.loading);
    state.loadsFromStore = body.loads_from_store;
    state.running = body.running;
    state.queued = body.queued;
    state.usedMemory = catalog::Tokens(body.used_tokens);
    state.memory = catalog::Tokens(body.total_tokens);
    state.streams = body.streams;
    state.readingTokens = catalog::Tokens(body.reading_tokens);
    state.routers = body.routers;
    for (const auto& model : body.expected)
        state.expected.push_back({ framework::ModelName(model->model), Milliseconds(model->within_ms) });
    return state;
}

wire::Message toWire(const catalog::EngineLoad& load)
{
    wire::fb::EngineLoadT body;
    body.running = load.running;
    body.queued = load.queued;
    body.used_tokens = load.usedMemory.value();
    body.routers = load.routers;
    body.streams = load.streams;
    body.reading_tokens = load.readingTokens.value();
    for (const catalog::EngineLoad::ModelLoad& held : load.held)
        body.held.emplace_back(static_cast<float>(held.work), held.inUse);
    return wire::message(std::move(body));
}

catalog::EngineLoad fromWire(const framework::Endpoint& engine, const wire::fb::EngineLoadT& body)
{
    catalog::EngineLoad load { engine, body.running, body.queued, catalog::Tokens(body.used_tokens), body.routers, {},
        body.streams, catalog::Tokens(body.reading_tokens) };
    for (const wire::fb::ModelLoad& held : body.held)
        load.held.push_back({ readWork(held.work()), held.in_use() });
    return load;
}

wire::Message toWire(const framework::VmName& router, const catalog::InstanceId& instance,
    const catalog::DemandList& demand, framework::SteadyTime now)
{
    wire::fb::WantedT body;
    body.takes_evidence = true;
    body.takes_limits = true;
    body.router = router.value();
    body.instance = instance.value();
    for (const catalog::TargetDemand& one : demand) {
        auto model = std::make_unique<wire::fb::WantedModelT>();
        model->model = one.target.model.value();
        model->adapter = one.target.adapter.value();
        model->waiting = one.waiting;
        model->earliest_remaining_ms = one.waiting > 0 ? wireTime(one.earliest.remaining(now)) : 0;
        model->in_flight = one.inFlight;
        model->work = static_cast<float>(one.work);
        model->rank = one.rank;
        model->holders = one.holders;
        model->is_prefetch = one.isPrefetch;
        model->is_copy = one.isCopy;
        model->priority = one.priority;
        body.models.push_back(std::move(model));
    }
    return wire::message(std::move(body));
}

catalog::DemandList fromWire(const wire::fb::WantedT& body, framework::SteadyTime now)
{
    catalog::DemandList demand;
    for (const auto& model : body.models) {
        catalog::TargetDemand one;
        one.target = { framework::ModelName(model->model), framework::AdapterName(model->adapter) };
        one.waiting = model->waiting;
        one.earliest = framework::Deadline::after(now, Milliseconds(model->earliest_remaining_ms));
        one.inFlight = model->in_flight;
        one.work = readWork(model->work);
        one.rank = model->rank;
        one.holders = model->holders;
        one.isPrefetch = model->is_prefetch;
        one.isCopy = model->is_copy;
        one.priority = model->priority;
        demand.push_back(std::move(one));
    }
    return demand;
}

} // namespace lagoon::direct
