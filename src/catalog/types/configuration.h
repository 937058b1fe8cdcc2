#pragma once

#include "catalog/types/units.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// What the operator has decided: which requests go to which services, and what the engines may hold.
namespace lagoon::catalog {

enum class RouteKind : std::uint8_t {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs once at most
    Streaming, ///< a stream of events; runs once at most unless it may be resumed
};

/// One of the services that share a route's requests.
struct RouteTarget {
    framework::ServiceName service;
    /// Relative to the other targets' weights.
    double weight = 1;
};

struct Route {
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /// Longest time to the final answer.
    framework::Milliseconds timeout { 0 };
    /// An answer, or a stream's first event, within this is on time.
    framework::Milliseconds targetLatency { 0 };
    /// Longest pause between a stream's events for which it is still on time.
    framework::Milliseconds maxEventGap { 0 };
    /// Callers leave when nothing has come for so long; 0: they wait for the whole answer until their deadline.
    framework::Milliseconds callerIdleTimeout { 0 };
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// At least one.
    std::vector<RouteTarget> targets;
    /// Servers to which one request may be sent, at least 1.
    std::uint32_t maxServers = 1;
    bool isResumable = false;
};

struct ModelProfile {
    framework::ModelName name;
    MegaBytes weights;
    /// Times of a load by where the weights are.
    framework::Milliseconds loadFromStore { 0 };
    framework::Milliseconds loadFromDisk { 0 };
    framework::Milliseconds loadFromMemory { 0 };
    MegaBytes adapterWeights;
    /// How many adapters there are of it.
    std::uint32_t adapters = 0;
};

/// A service's models, found by name with one hash.
class ModelProfiles {
public:
    void add(ModelProfile);
    /// Null if there is none of the name.
    const ModelProfile* find(const framework::ModelName&) const;

    auto begin() const { return profiles_.begin(); }
    auto end() const { return profiles_.end(); }
    std::size_t size() const { return profiles_.size(); }

private:
    std::vector<ModelProfile> profiles_;
    std::unordered_map<framework::ModelName, std::size_t> byName_;
};

/// What is common to the engines of one service.
struct EngineProfile {
    /// Requests that run at once.
    std::uint32_t slots = 0;
    Tokens memory;
    /// Room for models and adapters together.
    MegaBytes weights;
    std::uint32_t adapters = 0;
    /// Loads that the weight store may begin in a second, over all engines.
    double storeLoadsPerSecond = 0;
    ModelProfiles models;

    const ModelProfile* find(const framework::ModelName& name) const { return models.find(name); }
};

struct Service {
    framework::ServiceName name;
    /// Connections that one server accepts from all callers.
    std::uint32_t maxConnections = 0;
    /// Only for services of model engines.
    std::optional<EngineProfile> engine;
};

/// What a caller may send.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    framework::Milliseconds headerTimeout { 3000 };
    framework::Milliseconds idleTimeout { 15000 };
};

struct Configuration {
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;

    const Service* find(const framework::ServiceName&) const;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace lagoon::catalog
