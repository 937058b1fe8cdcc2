#include "agent/internal/admissionqueue.h"

#include <algorithm>
#include <tuple>

namespace lagoon::agent {

bool AdmissionQueue::QueueOrder::operator()(const WaitingDispatch& one, const WaitingDispatch& other) const
{
    return std::tie(other.priority, one.deadline, one.key) < std::tie(one.priority, other.deadline, other.key);
}

AdmissionQueue::AdmissionQueue(std::uint32_t maxRunning, std::uint32_t maxWaiting)
    : maxRunning_(maxRunning)
    , maxWaiting_(maxWaiting)
{
}

bool AdmissionQueue::enqueue(const WaitingDispatch& dispatch)
{
    if (!hasFreeSlot() && queue_.size() >= maxWaiting_)
        return false;
    queue_.insert(dispatch);
    return true;
}

void AdmissionQueue::remove(const DispatchKey& key)
{
    std::erase_if(queue_, [&](const WaitingDispatch& dispatch) { return dispatch.key == key; });
}

WaitingDispatch AdmissionQueue::takeNext()
{
    const WaitingDispatch next = *queue_.begin();
    queue_.erase(queue_.begin());
    ++running_;
    return next;
}

std::vector<WaitingDispatch> AdmissionQueue::takeExpired(framework::SteadyTime now)
{
    std::vector<WaitingDispatch> expired;
    for (const WaitingDispatch& dispatch : queue_) {
        if (dispatch.deadline.hasPassed(now))
            expired.push_back(dispatch);
    }
    for (const WaitingDispatch& dispatch : expired)
        queue_.erase(dispatch);
    return expired;
}

void AdmissionQueue::recordEnd() { --running_; }

bool AdmissionQueue::isWaiting(const DispatchKey& key) const
{
    return std::any_of(
        queue_.begin(), queue_.end(), [&](const WaitingDispatch& dispatch) { return dispatch.key == key; });
}

std::uint32_t AdmissionQueue::countAhead(const WaitingDispatch& dispatch) const
{
    return static_cast<std::uint32_t>(std::distance(queue_.begin(), queue_.lower_bound(dispatch)));
}

} // namespace lagoon::agent
