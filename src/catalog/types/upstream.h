#pragma once

#include "catalog/types/softwareversion.h"
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
    /// Fraction of one engine's time that all routers' requests for the model take, on whichever engines they run.
    /// Covers the routers that report to the engine's agent.
    double work = 0;
    /// Requests of all routers that run on the model or wait for one of its adapters. The model can't be unloaded
    /// before they have ended.
    std::uint32_t inUse = 0;

    bool has(const framework::AdapterName&) const;
};

/// Returns nullptr if the model isn't loaded.
const LoadedModel* findLoaded(const std::vector<LoadedModel>&, const framework::ModelName&);

/// Models whose weights an engine has cached in memory or on disk, so that it can load them without the weight store.
struct CachedWeights {
    std::vector<framework::ModelName> memory;
    std::vector<framework::ModelName> disk;

    bool hasInMemory(const framework::ModelName&) const;
    bool hasOnDisk(const framework::ModelName&) const;
};

enum class UpstreamState : std::uint8_t {
    Ready,
    Draining, ///< finishes its requests and ends soon
};

/// One run of an upstream's process. What is known about one run doesn't apply to another run under the same ID.
struct UpstreamRun {
    InstanceId instance;
    /// std::nullopt if the upstream doesn't report it.
    std::optional<StartTime> started;

    friend auto operator<=>(const UpstreamRun&, const UpstreamRun&) = default;
};

/// One server as the platform lists it. The list lags behind the server's actual state.
struct Upstream {
    InstanceId instance;
    /// std::nullopt if the server doesn't report it.
    std::optional<StartTime> started;
    framework::ServiceName service;
    /// std::nullopt if the software of this run isn't known.
    std::optional<SoftwareVersion> version;
    framework::Endpoint endpoint;
    framework::FailureDomainName failureDomain;
    std::uint32_t slots = 1;
    UpstreamState state = UpstreamState::Ready;
    /// Empty for plain services.
    std::vector<LoadedModel> models;
    CachedWeights cachedWeights;
    /// The list's own sequence number of the server's first listing: greater is later.
    std::uint64_t firstListed = 0;
    /// The server's own count, which never decreases within a run: an entry with a lower one was written earlier.
    std::uint64_t updates = 0;

    UpstreamRun run() const { return { instance, started }; }
};

/// Load time that an agent reports for a model that it can't load at present.
inline constexpr framework::Milliseconds loadImpossible { 3600 * 1000 };

/// An engine's state as its agent publishes it to the routers.
struct EngineState {
    framework::Endpoint engine;
    /// Start of the engine's process; std::nullopt if the engine doesn't report it.
    std::optional<StartTime> started;
    std::vector<LoadedModel> held;
    /// Loaded models that are about to be unloaded and accept no new requests.
    std::vector<framework::ModelName> draining;
    CachedWeights cachedWeights;
    /// Model that is being loaded now; empty if there is none.
    framework::ModelName loading;
    bool loadsFromStore = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Running requests that have made events; 0 if the engine doesn't report it.
    std::uint32_t streams = 0;
    /// Prompt tokens of the running requests that have made none.
    Tokens readingTokens;
    /// Use and capacity of the KV cache.
    Tokens usedMemory;
    Tokens memory;
    /// Number of routers that report their demand to this agent.
    std::uint32_t routers = 0;
    /// Time from now until a model in demand will be loaded; `loadImpossible` if no model can be evicted for it.
    struct Expected {
        framework::ModelName model;
        framework::Milliseconds within { 0 };
    };
    std::vector<Expected> expected;

    const LoadedModel* find(const framework::ModelName&) const;
    bool isDraining(const framework::ModelName&) const;
};

/// The figures of an engine's state that change with every request. The rest of the state is as published last.
struct EngineLoad {
    /// Load of one loaded model.
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
    std::uint32_t streams = 0;
    Tokens readingTokens;
};

EngineLoad loadOf(const EngineState&);
/// Returns false, and changes nothing, if the load has another number of models than the state.
[[nodiscard]] bool applyLoad(EngineState&, const EngineLoad&);

} // namespace lagoon::catalog
