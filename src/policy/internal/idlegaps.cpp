#include "policy/idlegaps.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoon::policy {

namespace {

/// Factor by which each new gap reduces the weight of all earlier ones, so that about the last fifty gaps count.
constexpr float decay = 0.98F;

} // namespace

void IdleGaps::record(framework::Milliseconds gap)
{
    const double seconds = std::max(1.0, std::chrono::duration<double>(gap).count());
    const auto bucket = static_cast<std::size_t>(std::log2(seconds));
    for (float& weight : weights_)
        weight *= decay;
    weights_[std::min(bucket, buckets - 1)] += 1;
}

IdleGaps IdleGaps::withPrior(const IdleGaps& others) const
{
    // Maximum number of gaps that the prior counts as.
    constexpr float priorWeight = 5;
    float sum = 0;
    for (const float weight : others.weights_)
        sum += weight;
    IdleGaps combined = *this;
    for (std::size_t bucket = 0; bucket < buckets && sum > 0; ++bucket)
        combined.weights_[bucket] += priorWeight * others.weights_[bucket] / std::max(priorWeight, sum);
    return combined;
}

double IdleGaps::upperBoundSeconds(std::size_t bucket) { return std::exp2(static_cast<double>(bucket) + 1); }

} // namespace lagoon::policy
