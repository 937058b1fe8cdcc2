#pragma once

#include "framework/types/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoon::standins {

struct ReplicaKey {
    std::string model;
    /// Empty if this is the model itself and not an adapter.
    std::string adapter;
    std::string version;
    friend auto operator<=>(const ReplicaKey&, const ReplicaKey&) = default;
};

enum class ReplicaState : std::uint8_t { Loading, Loaded, Unloading };
std::string replicaStateText(ReplicaState);

struct Replica {
    std::uint64_t memoryMib = 0;
    ReplicaState state = ReplicaState::Loading;
    /// Completions in progress on this replica.
    std::uint64_t activeCompletions = 0;
};

/// `Unchanged`: the replica is already in the requested state or on its way there. `NotLoaded`: the state of the
/// replica, its model or its adapters doesn't allow the order.
enum class OrderOutcome : std::uint8_t { Started, Unchanged, StaleFence, NotLoaded, MemoryShort };

/// A change of a replica's state. All processes of a machine share the steady clock, so events of several engines can
/// be compared.
struct ReplicaEvent {
    framework::SteadyTime at;
    ReplicaKey key;
    /// `loading`, `loaded`, `failed`, `unloading` or `unloaded`.
    std::string kind;
};

/// The replicas of an engine, their use of its memory, and violations, which are load orders that would have
/// overcommitted the memory. The caller passes in the time.
class ReplicaTable {
public:
    ReplicaTable(std::uint64_t memoryMib, bool checksFencing);

    OrderOutcome load(const ReplicaKey&, std::uint64_t memoryMib, std::uint64_t fence, framework::SteadyTime);
    OrderOutcome unload(const ReplicaKey&, std::uint64_t fence, framework::SteadyTime);
    void finishLoad(const ReplicaKey&, bool succeeded, framework::SteadyTime);
    void finishUnload(const ReplicaKey&, framework::SteadyTime);
    /// Looks up a loaded replica of the key's model and adapter, sets the key's version and counts a completion on it,
    /// until `release`. Returns false if none is loaded.
    bool acquire(ReplicaKey&);
    void release(const ReplicaKey&);
    void setChecksFencing(bool checks) { checksFencing_ = checks; }

    std::uint64_t memoryMib() const { return memoryMib_; }
    std::uint64_t usedMib() const;
    std::uint64_t peakUsedMib() const { return peakUsedMib_; }
    std::uint64_t highestFence(const ReplicaKey&) const;
    const std::map<ReplicaKey, Replica>& replicas() const { return replicas_; }
    const std::vector<ReplicaEvent>& events() const { return events_; }
    const std::vector<std::string>& violations() const { return violations_; }

private:
    /// Returns whether the fencing token is stale (never, if tokens aren't checked); otherwise records it.
    bool isStale(const ReplicaKey&, std::uint64_t fence);
    /// Whether the key is a model that has replicas of adapters in any state.
    bool hasAdapterReplicas(const ReplicaKey&) const;
    bool hasLoadedModel(const std::string& model) const;
    void recordEvent(const ReplicaKey&, const std::string& kind, framework::SteadyTime);

    std::uint64_t memoryMib_;
    bool checksFencing_;
    std::uint64_t peakUsedMib_ = 0;
    std::map<ReplicaKey, Replica> replicas_;
    /// The highest fencing tokens seen, by model and adapter.
    std::map<std::pair<std::string, std::string>, std::uint64_t> fences_;
    std::vector<ReplicaEvent> events_;
    std::vector<std::string> violations_;
};

} // namespace lagoon::standins
