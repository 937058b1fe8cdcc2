#include "forwarding/replicaindex.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <utility>

namespace lagoon::forwarding {

using framework::Endpoint;
using framework::ModelName;

namespace {

const ReplicaIndex::Engines none;

/// Orders are cached only for the models that a router has to place, not for all models.
constexpr std::size_t maxCachedOrders = 256;

void insertSorted(ReplicaIndex::Engines& engines, const Endpoint& engine)
{
    const auto position = std::lower_bound(engines.begin(), engines.end(), engine);
    if (position == engines.end() || *position != engine)
        engines.insert(position, engine);
}

} // namespace

void ReplicaIndex::set(const Endpoint& engine, Contents contents)
{
    const auto [known, isNew] = contents_.try_emplace(engine);
    if (!isNew && known->second == contents)
        return;
    if (isNew)
        orders_.clear();
    subtract(engine, known->second);
    known->second = std::move(contents);
    add(engine, known->second);
}

void ReplicaIndex::remove(const Endpoint& engine)
{
    const auto known = contents_.find(engine);
    if (known == contents_.end())
        return;
    orders_.clear();
    subtract(engine, known->second);
    contents_.erase(known);
}

void ReplicaIndex::add(const Endpoint& engine, const Contents& contents)
{
    for (const ModelName& model : contents.loaded) {
        Replicas& replicas = replicas_[model];
        insertSorted(replicas.loaded, engine);
        insertSorted(replicas.available, engine);
    }
    for (const ModelName& model : contents.cached)
        insertSorted(replicas_[model].available, engine);
}

void ReplicaIndex::subtract(const Endpoint& engine, const Contents& contents)
{
    for (const std::vector<ModelName>* const models : { &contents.loaded, &contents.cached }) {
        for (const ModelName& model : *models) {
            const auto replicas = replicas_.find(model);
            if (replicas == replicas_.end())
                continue;
            std::erase(replicas->second.loaded, engine);
            std::erase(replicas->second.available, engine);
            if (replicas->second.available.empty())
                replicas_.erase(replicas);
        }
    }
}

const ReplicaIndex::Engines& ReplicaIndex::loadedAt(const ModelName& model) const
{
    const auto found = replicas_.find(model);
    return found == replicas_.end() ? none : found->second.loaded;
}

const ReplicaIndex::Engines& ReplicaIndex::availableAt(const ModelName& model) const
{
    const auto found = replicas_.find(model);
    return found == replicas_.end() ? none : found->second.available;
}

const ReplicaIndex::Order& ReplicaIndex::order(const ModelName& model) const
{
    if (orders_.size() >= maxCachedOrders && !orders_.contains(model))
        orders_.clear();
    Order& order = orders_[model];
    if (!order.empty() || contents_.empty())
        return order;
    std::vector<framework::VmName> names;
    names.reserve(contents_.size());
    for (const auto& [engine, contents] : contents_)
        names.emplace_back(engine.value());
    order.reserve(names.size());
    for (const framework::VmName& name : policy::rendezvousOrder(model.value(), std::move(names)))
        order.push_back(&contents_.find(Endpoint(name.value()))->first);
    return order;
}

std::size_t ReplicaIndex::rank(const ModelName& model, const Endpoint& engine, std::size_t limit) const
{
    const Order& engines = order(model);
    const auto end = engines.begin() + static_cast<std::ptrdiff_t>(std::min(limit, engines.size()));
    const auto position = std::find_if(engines.begin(), end, [&](const Endpoint* other) { return *other == engine; });
    return static_cast<std::size_t>(position - engines.begin());
}

} // namespace lagoon::forwarding
