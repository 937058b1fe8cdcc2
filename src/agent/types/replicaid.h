#pragma once

#include "framework/types/ids.h"

#include <compare>
#include <string>

namespace lagoon::agent {

/// A model, or an adapter beside its model. An upstream has at most one replica of each.
struct ReplicaId {
    framework::ModelName model;
    /// Empty for the model itself.
    framework::AdapterName adapter;

    bool isAdapter() const { return !adapter.value().empty(); }
    ReplicaId ofModel() const { return { model, {} }; }
    friend auto operator<=>(const ReplicaId&, const ReplicaId&) = default;
};

/// `model` or `model/adapter`.
inline std::string replicaText(const ReplicaId& id)
{
    return id.isAdapter() ? id.model.value() + "/" + id.adapter.value() : id.model.value();
}

/// The weights that a replica is made of.
struct Checkpoint {
    ReplicaId replica;
    framework::WeightsVersion version;

    friend auto operator<=>(const Checkpoint&, const Checkpoint&) = default;
};

} // namespace lagoon::agent
