#pragma once

#include "catalog/types/units.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::catalog {

/// A model in an engine's accelerator memory, with its adapters.
struct LoadedModel {
    framework::ModelName model;
    std::uint32_t version = 0;
    std::vector<framework::AdapterName> adapters;
    /// Part of one engine's time that all routers' requests for the model take, wherever they run; as far as its agent
    /// has heard from them.
    double work = 0;
    /// Requests of all routers that run there or wait for one of its adapters: it can't make way before they have
    /// ended.
    std::uint32_t inUse = 0;

    bool has(const framework::AdapterName&) const;
};

/// Nothing if it isn't held.
const LoadedModel* findLoaded(const std::vector<LoadedModel>&, const framework::ModelName&);

/// Weights that an engine has at hand without the weight store.
struct CachedWeights {
    std::vector<framework::ModelName> memory;
    std::vector<framework::ModelName> disk;

    bool hasInMemory(const framework::ModelName&) const;
    bool hasOnDisk(const framework::ModelName&) const;
};

enum class UpstreamState : std::uint8_t {
    Ready,
    Draining, ///< serves what it has and soon ends
};

/// One run of an upstream's process. What is known of one doesn't hold for another of the same id.
struct UpstreamRun {
    InstanceId instance;
    /// Nothing if the upstream doesn't say it.
    std::optional<StartTime> started;

    friend auto operator<=>(const UpstreamRun&, const UpstreamRun&) = default;
};

/// One server as the platform's list describes it. The list lags.
struct Upstream {
    InstanceId instance;
    /// Nothing if the server doesn't say it.
    std::optional<StartTime> started;
    framework::ServiceName service;
    framework::Endpoint endpoint;
    framework::FailureDomainName failureDomain;
    std::uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready;
    /// Empty for plain services.
    std::vector<LoadedModel> models;
    CachedWeights cachedWeights;
    /// When it was listed first, in the list's own count: greater is later.
    std::uint64_t listed = 0;

    UpstreamRun run() const { return { instance, started }; }
};

/// What an agent says it takes until a model is there when it can't place it now.
inline constexpr framework::Milliseconds loadImpossible { 3600 * 1000 };

/// An engine's state as its agent tells the routers.
struct EngineState {
    framework::Endpoint engine;
    /// Of the engine's process; nothing if the engine doesn't say it.
    std::optional<StartTime> started;
    std::vector<LoadedModel> held;
    /// Held models that are about to be unloaded: they take no new requests.
    std::vector<framework::ModelName> draining;
    CachedWeights cachedWeights;
    /// Being loaded now; empty for none.
    framework::ModelName loading;
    bool loadsFromStore = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    Tokens usedMemory;
    Tokens memory;
    /// Routers that this agent hears from.
    std::uint32_t routers = 0;
    /// When a model that routers want will be there, from now; `loadImpossible` if nothing can make way for it.
    struct Expected {
        framework::ModelName model;
        framework::Milliseconds within { 0 };
    };
    std::vector<Expected> expected;

    const LoadedModel* find(const framework::ModelName&) const;
    bool isDraining(const framework::ModelName&) const;
};

/// The figures of an engine's state that change with every request, for a state that is otherwise as last told.
struct EngineLoad {
    /// Of one held model.
    struct ModelLoad {
        double work = 0;
        std::uint32_t inUse = 0;
    };

    framework::Endpoint engine;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    Tokens usedMemory;
    std::uint32_t routers = 0;
    /// In the order of `EngineState::held`.
    std::vector<ModelLoad> held;
};

EngineLoad loadOf(const EngineState&);
/// False if the load is of another state than this.
[[nodiscard]] bool applyLoad(EngineState&, const EngineLoad&);

} // namespace lagoon::catalog
