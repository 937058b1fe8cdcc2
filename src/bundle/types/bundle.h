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

/// A set of identical upstreams.
struct Pool {
    framework::PoolName name;
    framework::SiteName site;
    PoolKind kind = PoolKind::Engine;
    /// Accelerator memory of one upstream; 0 for services.
    framework::MebiBytes acceleratorMemory;
};

/// Values for requests whose caller doesn't set them.
struct RequestDefaults {
    framework::Milliseconds timeout { 30000 };
    bool isRepeatable = false;
    /// Priority from 0 to 9; 9 is the highest.
    std::uint8_t priority = 4;
};

struct Model {
    framework::ModelName name;
    framework::WeightsVersion version;
    framework::MebiBytes memory;
    /// Pools in which the model may be loaded.
    std::vector<framework::PoolName> pools;
    /// Decided replicas by site; 0 for a site that isn't listed.
    std::map<framework::SiteName, std::uint32_t> replicas;
    RequestDefaults defaults;
};

/// An adapter, which is loaded on upstreams that have its model loaded.
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

/// Parameters of the placement policy, for all sites.
struct PolicyParameters {
    /// Cost of one second of a caller's cold start, in seconds of an idle accelerator.
    double coldStartWeight = 10;
    /// Limits of the weight store, in total for all sites: loads started per second, and loads in progress that it
    /// serves at full speed.
    double weightLoadsPerSecond = 1.5;
    std::uint32_t weightLoadsAtFullSpeed = 4;
};

/// The configuration of models, adapters, services and pools that an operator signs off. Immutable.
struct Bundle {
    framework::BundleVersion version;
    PolicyParameters policy;
    std::map<framework::PoolName, Pool> pools;
    std::map<framework::ModelName, Model> models;
    std::map<framework::ModelName, std::map<framework::AdapterName, Adapter>> adapters;
    std::map<framework::ServiceName, Service> services;

    const Model* model(const framework::ModelName&) const;
    const Adapter* adapter(const framework::ModelName&, const framework::AdapterName&) const;
    const Service* service(const framework::ServiceName&) const;
    /// Decided replicas of the model, or of the adapter if its name isn't empty; 0 if the bundle doesn't contain it.
    std::uint32_t decidedReplicas(
        const framework::ModelName&, const framework::AdapterName&, const framework::SiteName&) const;
};

using BundlePointer = std::shared_ptr<const Bundle>;

} // namespace lagoon::bundle
