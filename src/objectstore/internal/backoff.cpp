#include "objectstore/backoff.h"

#include <algorithm>

namespace lagoon::objectstore {

Backoff::Backoff(framework::Milliseconds first, framework::Milliseconds longest, std::uint64_t seed)
    : first_(first)
    , longest_(longest)
    , range_(first)
    , random_(seed)
{
}

framework::Milliseconds Backoff::next(std::optional<framework::Milliseconds> retryAfter)
{
    std::uniform_int_distribution<std::int64_t> draw(range_.count() / 2, range_.count());
    const framework::Milliseconds drawn(draw(random_));
    range_ = std::min(range_ * 2, longest_);
    return retryAfter ? *retryAfter + drawn : drawn;
}

} // namespace lagoon::objectstore
