#include "callers/internal/occupancy.h"

namespace lagoon::callers {

Occupancy::Occupancy(const CallerLimits& limits, std::shared_ptr<framework::Metrics> metrics)
    : mostWaiting_(limits.waitingRequests)
    , mostInProgress_(limits.requestsInProgress)
    , metrics_(std::move(metrics))
{
}

bool Occupancy::enter()
{
    const std::lock_guard lock(mutex_);
    ++waiting_;
    ++inProgress_;
    showLocked();
    return waiting_ <= mostWaiting_ && inProgress_ <= mostInProgress_;
}

void Occupancy::waitingEnded()
{
    const std::lock_guard lock(mutex_);
    --waiting_;
    showLocked();
}

void Occupancy::replyEnded()
{
    const std::lock_guard lock(mutex_);
    --inProgress_;
    showLocked();
    isEmpty_.notify_all();
}

void Occupancy::replyPutOff()
{
    const std::lock_guard lock(mutex_);
    --inProgress_;
    ++putOff_;
    showLocked();
    isEmpty_.notify_all();
}

void Occupancy::putOffReplyEnded()
{
    const std::lock_guard lock(mutex_);
    --putOff_;
    isEmpty_.notify_all();
}

void Occupancy::waitUntilEmpty()
{
    std::unique_lock lock(mutex_);
    isEmpty_.wait(lock, [this] { return inProgress_ == 0; });
}

bool Occupancy::waitUntilEmpty(framework::Deadline deadline)
{
    std::unique_lock lock(mutex_);
    return isEmpty_.wait_until(lock, deadline.at(), [this] { return inProgress_ == 0; });
}

bool Occupancy::waitUntilAllLeft(framework::Deadline deadline)
{
    std::unique_lock lock(mutex_);
    return isEmpty_.wait_until(lock, deadline.at(), [this] { return inProgress_ + putOff_ == 0; });
}

void Occupancy::showLocked()
{
    metrics_->setGauge("lagoon_requests_waiting", static_cast<double>(waiting_));
    metrics_->setGauge("lagoon_requests_in_progress", static_cast<double>(inProgress_));
}

} // namespace lagoon::callers
