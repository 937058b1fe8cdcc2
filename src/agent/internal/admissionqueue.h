#pragma once

#include "agent/internal/requestledger.h"

#include <cstdint>
#include <set>
#include <vector>

namespace lagoon::agent {

/// A dispatch that waits for its turn.
struct WaitingDispatch {
    DispatchKey key;
    std::uint8_t priority = 0;
    framework::Deadline deadline;
};

/// How many dispatches are at the upstream, and which goes next: the highest priority, then the earliest deadline.
/// Pure.
class AdmissionQueue {
public:
    AdmissionQueue(std::uint32_t maxRunning, std::uint32_t maxWaiting);

    /// False when too many wait already.
    [[nodiscard]] bool enqueue(const WaitingDispatch&);
    /// Drops one that no longer waits, such as a cancelled one.
    void remove(const DispatchKey&);
    /// Takes those whose turn it is; each counts as running until `recordEnd`.
    std::vector<WaitingDispatch> takeStartable();
    /// Takes those whose deadline has passed.
    std::vector<WaitingDispatch> takeExpired(framework::SteadyTime now);
    void recordEnd();

    bool isWaiting(const DispatchKey&) const;
    /// Whether a new one would start now.
    bool hasFreeSlot() const { return queue_.empty() && running_ < maxRunning_; }
    /// How many of those waiting would go before it.
    std::uint32_t ahead(const WaitingDispatch&) const;
    std::uint32_t maxRunning() const { return maxRunning_; }
    std::uint32_t running() const { return running_; }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(queue_.size()); }

private:
    struct QueueOrder {
        bool operator()(const WaitingDispatch&, const WaitingDispatch&) const;
    };

    std::uint32_t maxRunning_;
    std::uint32_t maxWaiting_;
    std::uint32_t running_ = 0;
    std::set<WaitingDispatch, QueueOrder> queue_;
};

} // namespace lagoon::agent
