#pragma once

#include "framework/types/ids.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace lagoon::forwarding {

/// Which engines of one service have which models loaded, and which have their weights cached. An update costs what the
/// engine has, a look-up one hash, whatever the number of models and engines. Without I/O or clock.
class ReplicaIndex {
public:
    using Engines = std::vector<framework::Endpoint>;

    /// What one engine has.
    struct Contents {
        /// Models that serve requests there.
        std::vector<framework::ModelName> loaded;
        /// Models that can be loaded there without the weight store; loaded ones needn't be repeated.
        std::vector<framework::ModelName> cached;

        friend bool operator==(const Contents&, const Contents&) = default;
    };

    /// Replaces what was known of the engine.
    void set(const framework::Endpoint&, Contents);
    void remove(const framework::Endpoint&);

    /// Engines that serve the model.
    const Engines& loadedAt(const framework::ModelName&) const;
    /// Engines that serve the model or have its weights cached.
    const Engines& availableAt(const framework::ModelName&) const;
    using Order = std::vector<const framework::Endpoint*>;

    /// All engines in the model's rendezvous order, which is the same at all routers that know the same engines. Holds
    /// until the next call or change.
    const Order& order(const framework::ModelName&) const;

    /// The engine's place in that order, from 0; `limit` for all that come later.
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
    /// A cache, by model, of a bounded number of them; cleared when an engine comes or goes.
    mutable std::unordered_map<framework::ModelName, Order> orders_;
};

} // namespace lagoon::forwarding
