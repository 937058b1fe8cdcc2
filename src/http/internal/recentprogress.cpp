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

double RecentProgress::recentShare(framework::SteadyTime now) const
{
    if (total_ == 0)
        return 1;
    const auto age = now - windowStart_;
    std::size_t recent = inWindow_ + inLastWindow_;
    if (age >= 2 * window)
        recent = 0;
    else if (age >= window)
        recent = inWindow_;
    return static_cast<double>(recent) / static_cast<double>(total_);
}

} // namespace lagoon::http
