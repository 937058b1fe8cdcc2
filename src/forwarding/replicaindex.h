#pragma once

#include "framework/types/ids.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace lagoon::forwarding {

/// Records which engines of one service have which models loaded, and which have their weights cached. The cost of an
/// update is proportional to what the engine has, and a look-up costs one hash, regardless of the number of models and
/// engines. Does no I/O and reads no clock.
class ReplicaIndex {
public:
    using Engines = std::vector<framework::Endpoint>;

    /// The models of one engine.
    struct Contents {
        /// Models that the engine serves.
        std::vector<framework::ModelName> loaded;
        /// Models that the engine can load without the weight store; loaded ones needn't be repeated.
        std::vector<framework::ModelName> cached;

        friend bool operator==(const Contents&, const Contents&) = default;
    };

    /// Replaces the contents of the engine.
    void set(const framework::Endpoint&, Contents);
    void remove(const framework::Endpoint&);

    /// Returns the engines that serve the model.
    const Engines& loadedAt(const framework::ModelName&) const;
    /// Returns the engines that serve the model or have its weights cached.
    const Engines& availableAt(const framework::ModelName&) const;
    using Order = std::vector<const framework::Endpoint*>;

    /// Returns all engines in the model's rendezvous order, which is the same on all routers that know the same
    /// engines. Valid until the next call or change.
    const Order& order(const framework::ModelName&) const;

    /// Returns the engine's position in that order, from 0; `limit` for every engine at a later position.
    std::size_t rank(const framework::ModelName&, const framework::Endpoint&, std::size_t limit) const;

    std::size_t size() const { return contents_.size(); }
    const std::map<framework::Endpoint, Contents>& engines() const { return contents_; }

private:
    struct Replicas {
        Engines loaded;
        Engines available;
    };

    void add(const framework::Endpoint&, const Contents&);
    void subtract(const framework::Endpoint&, const Contents&);

    std::map<framework::Endpoint, Contents> contents_;
    std::unordered_map<framework::ModelName, Replicas> replicas_;
    /// A bounded cache of orders by model; cleared when an engine is added or removed.
    mutable std::unordered_map<framework::ModelName, Order> orders_;
};

} // namespace lagoon::forwarding
