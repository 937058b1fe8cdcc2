#include "policy/idlegaps.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoon::policy {

namespace {

/// What is left of all earlier gaps at a new one: the last fifty or so count.
constexpr float fading = 0.98F;

} // namespace

void IdleGaps::record(framework::Milliseconds gap)
{
    const double seconds = std::max(1.0, std::chrono::duration<double>(gap).count());
    const auto bucket = static_cast<std::size_t>(std::log2(seconds));
    for (float& weight : weights_)
        weight *= fading;
    weights_[std::min(bucket, buckets - 1)] += 1;
}

double IdleGaps::endSeconds(std::size_t bucket) { return std::exp2(static_cast<double>(bucket) + 1); }

} // namespace lagoon::policy
