#include "policy/retrybackoff.h"

#include <algorithm>

namespace lagoon::policy {

framework::Milliseconds RetryBackoff::wait(std::uint32_t failures, double random) const
{
    constexpr std::uint32_t maxDoublings = 20;
    const std::uint32_t doublings = std::min(maxDoublings, failures > 0 ? failures - 1 : 0);
    const framework::Milliseconds ceiling = std::min(max, initial * (std::int64_t { 1 } << doublings));
    return framework::Milliseconds(static_cast<std::int64_t>(static_cast<double>(ceiling.count()) * random));
}

} // namespace lagoon::policy
