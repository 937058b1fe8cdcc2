#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <vector>

namespace lagoon::policy {

/// Loads from the weight store in the order in which they get one of its places, and when each will have ended.
/// Without I/O or clock; all times count from now.
class StoreQueue {
public:
    /// `running`: how much longer each of the loads under way takes. There may be more of them than places.
    StoreQueue(std::size_t slots, std::vector<framework::Milliseconds> running);

    /// Whether a load could begin now.
    bool hasFreeSlot() const;
    std::size_t freeSlots() const;
    /// Gives the load the place that is free first. Returns when it will have ended.
    framework::Milliseconds add(framework::Milliseconds load);

private:
    /// When each place is free, the first first.
    std::vector<framework::Milliseconds> freeIn_;
};

} // namespace lagoon::policy
