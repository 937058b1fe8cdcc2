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
    /// Empty for the model itself.
    std::string adapter;
    std::string version;
    friend auto operator<=>(const ReplicaKey&, const ReplicaKey&) = default;
};

enum class ReplicaState : std::uint8_t { Loading, Loaded, Unloading };
std::string replicaStateText(ReplicaState);

struct Replica {
    std::uint64_t memoryMib = 0;
    ReplicaState state = ReplicaState::Loading;
    /// Completions that run on it.
    std::uint64_t activeCompletions = 0;
};

enum class OrderOutcome : std::uint8_t { Started, Unchanged, StaleFence, NotLoaded, MemoryShort };

/// What was done to a replica and when (steady clock, which all processes of a machine share).
struct ReplicaEvent {
    framework::SteadyTime at;
    ReplicaKey key;
    std::string kind;
};

/// An engine's replicas, its memory, and what broke the rules. Time is passed in.
class ReplicaTable {
public:
    ReplicaTable(std::uint64_t memoryMib, bool checksFencing);

    OrderOutcome load(const ReplicaKey&, std::uint64_t memoryMib, std::uint64_t fence, framework::SteadyTime);
    OrderOutcome unload(const ReplicaKey&, std::uint64_t fence, framework::SteadyTime);
    void finishLoad(const ReplicaKey&, bool succeeded, framework::SteadyTime);
    void finishUnload(const ReplicaKey&, framework::SteadyTime);
    /// Starts a completion on a loaded replica; the key's version is found and set. False if none is loaded.
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
    bool isStale(const ReplicaKey&, std::uint64_t fence);
    bool hasAdapterReplicas(const ReplicaKey&) const;
    bool hasLoadedModel(const std::string& model) const;
    void recordEvent(const ReplicaKey&, const std::string& kind, framework::SteadyTime);

    std::uint64_t memoryMib_;
    bool checksFencing_;
    std::uint64_t peakUsedMib_ = 0;
    std::map<ReplicaKey, Replica> replicas_;
    /// By model and adapter.
    std::map<std::pair<std::string, std::string>, std::uint64_t> fences_;
    std::vector<ReplicaEvent> events_;
    std::vector<std::string> violations_;
};

} // namespace lagoon::standins
