#include "http/internal/sendqueue.h"

#include <algorithm>
#include <utility>

namespace lagoon::http {

void SendQueue::push(std::string bytes, std::unique_ptr<ByteReservation> reservation, framework::SteadyTime now)
{
    if (entries_.empty()) {
        waitsSince_ = now;
        progressBy_ = framework::Deadline(framework::SteadyTime::max());
    }
    bytes_ += bytes.size();
    entries_.push_back({ std::move(bytes), std::move(reservation) });
}

void SendQueue::didWritePart(std::size_t bytes, framework::SteadyTime now)
{
    progress_.add(bytes - std::exchange(writtenOfFront_, bytes), now);
}

void SendQueue::pop()
{
    bytes_ -= entries_.front().bytes.size();
    writtenOfFront_ = 0;
    entries_.pop_front();
}

void SendQueue::discard()
{
    if (entries_.empty())
        return;
    entries_.resize(1);
    entries_.front().reservation.reset();
    bytes_ = 0;
}

bool SendQueue::checkProgress(std::size_t bytes, framework::Milliseconds timeout, framework::SteadyTime now)
{
    if (entries_.empty())
        return true;
    const bool isFirstCheck = progressBy_.at() == framework::SteadyTime::max();
    if (!isFirstCheck && !progressBy_.hasPassed(now))
        return true;
    if (!isFirstCheck && progress_.total() < expectedTotal_)
        return false;
    progressBy_ = framework::Deadline::after(now, timeout);
    expectedTotal_ = progress_.total() + bytes;
    return true;
}

double SendQueue::recentShare(framework::SteadyTime now) const
{
    if (bytes_ == 0 || now - waitsSince_ < 2 * RecentProgress::window)
        return 1;
    return std::min(1.0, static_cast<double>(progress_.recent(now)) / static_cast<double>(bytes_));
}

} // namespace lagoon::http
