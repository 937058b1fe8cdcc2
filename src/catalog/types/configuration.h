#pragma once

#include "catalog/types/customer.h"
#include "catalog/types/units.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// The operator's configuration: which requests go to which services, and which models the engines may load.
namespace lagoon::catalog {

enum class RouteKind : std::uint8_t {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once
    Streaming, ///< a stream of events; runs at most once unless it is resumable
};

/// One of the services among which a route's requests are distributed.
struct RouteTarget {
    framework::ServiceName service;
    /// Share of the route's requests, relative to the other targets' weights.
    double weight = 1;
};

struct Route {
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /// Maximum time until the final answer.
    framework::Milliseconds timeout { 0 };
    /// An answer, or a stream's first event, that arrives within this time is on time.
    framework::Milliseconds targetLatency { 0 };
    /// A stream is on time only while the gaps between its events don't exceed this time.
    framework::Milliseconds maxEventGap { 0 };
    /// Callers disconnect after receiving nothing for this time; 0 if they wait for the whole answer until their
    /// deadline.
    framework::Milliseconds callerIdleTimeout { 0 };
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Contains at least one target.
    std::vector<RouteTarget> targets;
    /// Maximum number of servers to which one request may be sent, at least 1.
    std::uint32_t maxServers = 1;
    bool isResumable = false;
    /// Callers need no key.
    bool isPublic = false;
};

struct ModelProfile {
    framework::ModelName name;
    MegaBytes weights;
    /// Load times, depending on where the weights are.
    framework::Milliseconds loadFromStore { 0 };
    framework::Milliseconds loadFromDisk { 0 };
    framework::Milliseconds loadFromMemory { 0 };
    MegaBytes adapterWeights;
    /// Number of adapters that exist for this model.
    std::uint32_t adapters = 0;
};

/// A service's models. A lookup by name costs one hash.
class ModelProfiles {
public:
    void add(ModelProfile);
    /// Returns nullptr if there is no model of this name.
    const ModelProfile* find(const framework::ModelName&) const;

    auto begin() const { return profiles_.begin(); }
    auto end() const { return profiles_.end(); }
    std::size_t size() const { return profiles_.size(); }

private:
    std::vector<ModelProfile> profiles_;
    std::unordered_map<framework::ModelName, std::size_t> byName_;
};

/// Properties shared by all engines of one service.
struct EngineProfile {
    /// Number of requests that run concurrently.
    std::uint32_t slots = 0;
    /// Capacity of the KV cache.
    Tokens memory;
    /// Capacity for models and adapters together.
    MegaBytes weights;
    /// Maximum number of adapters that are loaded at the same time.
    std::uint32_t adapters = 0;
    /// Loads per second that the weight store may start, over all engines.
    double storeLoadsPerSecond = 0;
    ModelProfiles models;

    const ModelProfile* find(const framework::ModelName& name) const { return models.find(name); }
};

struct Service {
    framework::ServiceName name;
    /// Maximum number of connections that one server accepts from all callers together.
    std::uint32_t maxConnections = 0;
    /// std::nullopt for plain services, which have no model engines.
    std::optional<EngineProfile> engine;
};

/// Limits on callers' requests and connections.
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
    /// std::nullopt if callers aren't told apart and need no keys.
    std::optional<Customers> customers;

    const Service* find(const framework::ServiceName&) const;
};

/// Returns the shortest gap between events that routes allow the streams of each service. A service without such a
/// limit has no entry.
std::map<framework::ServiceName, framework::Milliseconds> shortestEventGaps(const Configuration&);

using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace lagoon::catalog
