#pragma once

#include "agent/internal/requestledger.h"

#include <cstdint>
#include <set>
#include <vector>

namespace lagoon::agent {

/// A dispatch in the queue.
struct WaitingDispatch {
    DispatchKey key;
    std::uint8_t priority = 0;
    framework::Deadline deadline;
};

/// Limits how many dispatches run at the upstream and how many wait, and selects the next to start: the highest
/// priority first, then the earliest deadline. Does no I/O and reads no clock.
class AdmissionQueue {
public:
    AdmissionQueue(std::uint32_t maxRunning, std::uint32_t maxWaiting);

    /// Returns false if the queue is full.
    [[nodiscard]] bool enqueue(const WaitingDispatch&);
    /// Removes a dispatch that no longer waits, for example a cancelled one.
    void remove(const DispatchKey&);
    /// Whether a dispatch waits and a slot is free for it.
    bool hasStartable() const { return !queue_.empty() && running_ < maxRunning_; }
    /// Removes and returns the next dispatch, which counts as running until `recordEnd`.
    WaitingDispatch takeNext();
    /// Removes and returns the dispatches whose deadline has passed.
    std::vector<WaitingDispatch> takeExpired(framework::SteadyTime now);
    void recordEnd();

    bool isWaiting(const DispatchKey&) const;
    /// Whether a new dispatch would start immediately.
    bool hasFreeSlot() const { return queue_.empty() && running_ < maxRunning_; }
    /// Number of waiting dispatches that would start before this one.
    std::uint32_t countAhead(const WaitingDispatch&) const;
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
