#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <vector>

namespace lagoon::policy {

/// Predicts when loads from the weight store end if they get its slots in the order in which they are added. Has no I/O
/// and no clock; all times count from now.
class StoreQueue {
public:
    /// `running` has the remaining time of each load in progress. There may be more of them than slots.
    StoreQueue(std::size_t slots, std::vector<framework::Milliseconds> running);

    /// Whether a load could start now.
    bool hasFreeSlot() const;
    std::size_t freeSlots() const;
    /// Gives the load the slot that becomes free first. Returns the time at which the load will have ended.
    framework::Milliseconds add(framework::Milliseconds load);

private:
    /// Time until each slot is free, in ascending order; negative for a free slot.
    std::vector<framework::Milliseconds> freeIn_;
};

} // namespace lagoon::policy
