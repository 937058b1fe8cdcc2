#include "agent/internal/admission.h"

#include <algorithm>
#include <tuple>

namespace lagoon::agent {

bool Admission::TurnOrder::operator()(const WaitingDispatch& one, const WaitingDispatch& other) const
{
    return std::tie(other.priority, one.deadline, one.key) < std::tie(one.priority, other.deadline, other.key);
}

Admission::Admission(std::uint32_t mostRunning, std::uint32_t mostWaiting)
    : mostRunning_(mostRunning)
    , mostWaiting_(mostWaiting)
{
}

bool Admission::enqueue(const WaitingDispatch& dispatch)
{
    if (!hasFreePlace() && queue_.size() >= mostWaiting_)
        return false;
    queue_.insert(dispatch);
    return true;
}

void Admission::remove(const DispatchKey& key)
{
    std::erase_if(queue_, [&](const WaitingDispatch& dispatch) { return dispatch.key == key; });
}

std::vector<WaitingDispatch> Admission::takeStartable()
{
    std::vector<WaitingDispatch> started;
    while (running_ < mostRunning_ && !queue_.empty()) {
        started.push_back(*queue_.begin());
        queue_.erase(queue_.begin());
        ++running_;
    }
    return started;
}

std::vector<WaitingDispatch> Admission::takeExpired(framework::SteadyTime now)
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

void Admission::ended() { --running_; }

bool Admission::isWaiting(const DispatchKey& key) const
{
    return std::any_of(
        queue_.begin(), queue_.end(), [&](const WaitingDispatch& dispatch) { return dispatch.key == key; });
}

std::uint32_t Admission::ahead(const WaitingDispatch& dispatch) const
{
    return static_cast<std::uint32_t>(std::distance(queue_.begin(), queue_.lower_bound(dispatch)));
}

} // namespace lagoon::agent
