#include "callers/internal/occupancy.h"

namespace lagoon::callers {

Occupancy::Occupancy(const CallerLimits& limits, std::shared_ptr<framework::Metrics> metrics)
    : maxWaiting_(limits.waitingRequests)
    , maxInProgress_(limits.requestsInProgress)
    , metrics_(std::move(metrics))
{
}

bool Occupancy::enter()
{
    const std::lock_guard lock(mutex_);
    ++waiting_;
    ++inProgress_;
    updateMetricsLocked();
    return waiting_ <= maxWaiting_ && inProgress_ <= maxInProgress_;
}

void Occupancy::didEndWaiting()
{
    const std::lock_guard lock(mutex_);
    --waiting_;
    updateMetricsLocked();
}

void Occupancy::didEndReply()
{
    const std::lock_guard lock(mutex_);
    --inProgress_;
    updateMetricsLocked();
    ended_.notify_all();
}

bool Occupancy::hasRoom()
{
    const std::lock_guard lock(mutex_);
    return waiting_ < maxWaiting_ && inProgress_ < maxInProgress_;
}

bool Occupancy::waitUntilEmpty(framework::Deadline deadline)
{
    std::unique_lock lock(mutex_);
    return ended_.wait_until(lock, deadline.at(), [this] { return inProgress_ == 0; });
}

void Occupancy::updateMetricsLocked()
{
    metrics_->setGauge("lagoon_requests_waiting", static_cast<double>(waiting_));
    metrics_->setGauge("lagoon_requests_in_progress", static_cast<double>(inProgress_));
}

} // namespace lagoon::callers
