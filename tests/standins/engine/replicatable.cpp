#include "standins/engine/replicatable.h"

#include <algorithm>

namespace lagoon::standins {

std::string replicaStateText(ReplicaState state)
{
    switch (state) {
    case ReplicaState::Loading:
        return "loading";
    case ReplicaState::Loaded:
        return "loaded";
    case ReplicaState::Unloading:
        return "unloading";
    }
    return "";
}

ReplicaTable::ReplicaTable(std::uint64_t memoryMib, bool checksFencing)
    : memoryMib_(memoryMib)
    , checksFencing_(checksFencing)
{
}

OrderOutcome ReplicaTable::load(
    const ReplicaKey& key, std::uint64_t memoryMib, std::uint64_t fence, framework::SteadyTime now)
{
    if (isStale(key, fence))
        return OrderOutcome::StaleFence;
    const auto present = replicas_.find(key);
    if (present != replicas_.end())
        return present->second.state == ReplicaState::Unloading ? OrderOutcome::NotLoaded : OrderOutcome::Unchanged;
    if (!key.adapter.empty() && !hasLoadedModel(key.model))
        return OrderOutcome::NotLoaded;
    if (usedMib() + memoryMib > memoryMib_) {
        violations_.push_back("overcommit: load of " + key.model + "/" + key.adapter + " of "
            + std::to_string(memoryMib) + " MiB with " + std::to_string(usedMib()) + " of " + std::to_string(memoryMib_)
            + " MiB in use");
        return OrderOutcome::MemoryShort;
    }
    replicas_[key] = { memoryMib, ReplicaState::Loading, 0 };
    peakUsedMib_ = std::max(peakUsedMib_, usedMib());
    recordEvent(key, "loading", now);
    return OrderOutcome::Started;
}

OrderOutcome ReplicaTable::unload(const ReplicaKey& key, std::uint64_t fence, framework::SteadyTime now)
{
    if (isStale(key, fence))
        return OrderOutcome::StaleFence;
    const auto present = replicas_.find(key);
    if (present == replicas_.end())
        return OrderOutcome::NotLoaded;
    Replica& replica = present->second;
    if (replica.state == ReplicaState::Unloading)
        return OrderOutcome::Unchanged;
    if (replica.state == ReplicaState::Loading || replica.activeCompletions > 0 || hasAdapterReplicas(key))
        return OrderOutcome::NotLoaded;
    replica.state = ReplicaState::Unloading;
    recordEvent(key, "unloading", now);
    return OrderOutcome::Started;
}

void ReplicaTable::finishLoad(const ReplicaKey& key, bool succeeded, framework::SteadyTime now)
{
    const auto present = replicas_.find(key);
    if (present == replicas_.end())
        return;
    if (succeeded)
        present->second.state = ReplicaState::Loaded;
    else
        replicas_.erase(present);
    recordEvent(key, succeeded ? "loaded" : "failed", now);
}

void ReplicaTable::finishUnload(const ReplicaKey& key, framework::SteadyTime now)
{
    replicas_.erase(key);
    recordEvent(key, "unloaded", now);
}

bool ReplicaTable::acquire(ReplicaKey& key)
{
    for (auto& [present, replica] : replicas_) {
        if (present.model != key.model || present.adapter != key.adapter || replica.state != ReplicaState::Loaded)
            continue;
        key.version = present.version;
        ++replica.activeCompletions;
        return true;
    }
    return false;
}

void ReplicaTable::release(const ReplicaKey& key)
{
    const auto present = replicas_.find(key);
    if (present != replicas_.end())
        --present->second.activeCompletions;
}

std::uint64_t ReplicaTable::usedMib() const
{
    std::uint64_t used = 0;
    for (const auto& [key, replica] : replicas_)
        used += replica.memoryMib;
    return used;
}

std::uint64_t ReplicaTable::highestFence(const ReplicaKey& key) const
{
    const auto found = fences_.find({ key.model, key.adapter });
    return found == fences_.end() ? 0 : found->second;
}

bool ReplicaTable::isStale(const ReplicaKey& key, std::uint64_t fence)
{
    std::uint64_t& highest = fences_[{ key.model, key.adapter }];
    if (checksFencing_ && fence < highest)
        return true;
    highest = std::max(highest, fence);
    return false;
}

bool ReplicaTable::hasAdapterReplicas(const ReplicaKey& key) const
{
    if (!key.adapter.empty())
        return false;
    return std::any_of(replicas_.begin(), replicas_.end(),
        [&](const auto& entry) { return entry.first.model == key.model && !entry.first.adapter.empty(); });
}

bool ReplicaTable::hasLoadedModel(const std::string& model) const
{
    return std::any_of(replicas_.begin(), replicas_.end(), [&](const auto& entry) {
        return entry.first.model == model && entry.first.adapter.empty() && entry.second.state == ReplicaState::Loaded;
    });
}

void ReplicaTable::recordEvent(const ReplicaKey& key, const std::string& kind, framework::SteadyTime now)
{
    events_.push_back({ now, key, kind });
}

} // namespace lagoon::standins
