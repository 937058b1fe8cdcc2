#include "http/internal/recentprogress.h"

namespace lagoon::http {

void RecentProgress::add(std::size_t bytes, framework::SteadyTime now)
{
    if (now - windowStart_ >= window) {
        inLastWindow_ = now - windowStart_ < 2 * window ? inWindow_ : 0;
        inWindow_ = 0;
        windowStart_ = now;
    }
    inWindow_ += bytes;
    total_ += bytes;
}

std::size_t RecentProgress::recent(framework::SteadyTime now) const
{
    const auto age = now - windowStart_;
    if (age >= 2 * window)
        return 0;
    return age >= window ? inWindow_ : inWindow_ + inLastWindow_;
}

double RecentProgress::recentShare(framework::SteadyTime now) const
{
    return total_ == 0 ? 1 : static_cast<double>(recent(now)) / static_cast<double>(total_);
}

} // namespace lagoon::http
