#include "policy/storequeue.h"

#include <algorithm>
#include <utility>

namespace lagoon::policy {

using framework::Milliseconds;

StoreQueue::StoreQueue(std::size_t slots, std::vector<Milliseconds> running)
    : freeIn_(std::move(running))
{
    const std::size_t atLeastOne = std::max<std::size_t>(1, slots);
    std::sort(freeIn_.begin(), freeIn_.end());
    // If there are more loads than slots, the loads that end first free no slot.
    if (freeIn_.size() > atLeastOne)
        freeIn_.erase(freeIn_.begin(), freeIn_.end() - static_cast<std::ptrdiff_t>(atLeastOne));
    freeIn_.insert(freeIn_.begin(), atLeastOne - freeIn_.size(), Milliseconds(-1));
}

bool StoreQueue::hasFreeSlot() const { return freeIn_.front() < Milliseconds(0); }

std::size_t StoreQueue::freeSlots() const
{
    return static_cast<std::size_t>(
        std::count_if(freeIn_.begin(), freeIn_.end(), [](Milliseconds freeIn) { return freeIn < Milliseconds(0); }));
}

Milliseconds StoreQueue::add(Milliseconds load)
{
    const Milliseconds ended = std::max(Milliseconds(0), freeIn_.front()) + load;
    freeIn_.erase(freeIn_.begin());
    freeIn_.insert(std::upper_bound(freeIn_.begin(), freeIn_.end(), ended), ended);
    return ended;
}

} // namespace lagoon::policy
