#pragma once

#include "framework/types/ids.h"

#include <compare>
#include <string>

namespace lagoon::agent {

/// Identifies a model, or an adapter of a model. An upstream has at most one replica of each.
struct ReplicaId {
    framework::ModelName model;
    /// Empty for the model itself.
    framework::AdapterName adapter;

    bool isAdapter() const { return !adapter.value().empty(); }
    ReplicaId modelId() const { return { model, {} }; }
    friend auto operator<=>(const ReplicaId&, const ReplicaId&) = default;
};

/// `model` or `model/adapter`.
inline std::string replicaText(const ReplicaId& id)
{
    return id.isAdapter() ? id.model.value() + "/" + id.adapter.value() : id.model.value();
}

/// The version of the weights that a replica is loaded from.
struct Checkpoint {
    ReplicaId replica;
    framework::WeightsVersion version;

    friend auto operator<=>(const Checkpoint&, const Checkpoint&) = default;
};

} // namespace lagoon::agent
