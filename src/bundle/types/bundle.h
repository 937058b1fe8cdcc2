#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoon::bundle {

enum class PoolKind : std::uint8_t { Engine, Service };

/// A set of equal upstreams.
struct Pool {
    framework::PoolName name;
    framework::SiteName site;
    PoolKind kind = PoolKind::Engine;
    /// Of one upstream; 0 for services.
    framework::MebiBytes acceleratorMemory;
};

/// What holds for a request whose caller says nothing.
struct RequestDefaults {
    framework::Milliseconds timeout { 30000 };
    bool isRepeatable = false;
    /// 0 to 9, highest first.
    std::uint8_t priority = 4;
};

struct Model {
    framework::ModelName name;
    framework::WeightsVersion version;
    framework::MebiBytes memory;
    /// Where it may be loaded.
    std::vector<framework::PoolName> pools;
    /// Decided replicas by site; a site that isn't named has none.
    std::map<framework::SiteName, std::uint32_t> replicas;
    RequestDefaults defaults;
};

/// Loaded beside its model, on an upstream that has the model.
struct Adapter {
    framework::AdapterName name;
    framework::ModelName model;
    framework::WeightsVersion version;
    framework::MebiBytes memory;
    std::map<framework::SiteName, std::uint32_t> replicas;
};

struct Service {
    framework::ServiceName name;
    std::vector<framework::PoolName> pools;
    RequestDefaults defaults;
};

/// Numbers of the decisions, for all sites.
struct PolicyNumbers {
    /// What a second of a caller's cold start is worth in seconds of an idle accelerator.
    double coldStartWeight = 10;
    /// The weight store's limits over all sites.
    double weightLoadsPerSecond = 1.5;
    std::uint32_t weightLoadsAtFullSpeed = 4;
};

/// What operators signed off. Immutable.
struct Bundle {
    framework::BundleVersion version;
    PolicyNumbers policy;
    std::map<framework::PoolName, Pool> pools;
    std::map<framework::ModelName, Model> models;
    std::map<framework::ModelName, std::map<framework::AdapterName, Adapter>> adapters;
    std::map<framework::ServiceName, Service> services;

    const Model* model(const framework::ModelName&) const;
    const Adapter* adapter(const framework::ModelName&, const framework::AdapterName&) const;
    const Service* service(const framework::ServiceName&) const;
    /// Of the model, or of the adapter if one is named; 0 for what the bundle doesn't have.
    std::uint32_t decidedReplicas(
        const framework::ModelName&, const framework::AdapterName&, const framework::SiteName&) const;
};

using BundlePointer = std::shared_ptr<const Bundle>;

} // namespace lagoon::bundle
