#include "objectstore/backoff.h"

#include <algorithm>

namespace lagoon::objectstore {

Backoff::Backoff(framework::Milliseconds initialDelay, framework::Milliseconds maxDelay, std::uint64_t seed)
    : initialDelay_(initialDelay)
    , maxDelay_(maxDelay)
    , currentDelay_(initialDelay)
    , random_(seed)
{
}

framework::Milliseconds Backoff::next(std::optional<framework::Milliseconds> retryAfter)
{
    std::uniform_int_distribution<std::int64_t> distribution(currentDelay_.count() / 2, currentDelay_.count());
    const framework::Milliseconds delay(distribution(random_));
    currentDelay_ = std::min(currentDelay_ * 2, maxDelay_);
    return retryAfter ? *retryAfter + delay : delay;
}

} // namespace lagoon::objectstore
