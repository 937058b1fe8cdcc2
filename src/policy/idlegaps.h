#pragma once

#include "framework/types/time.h"

#include <array>
#include <cstddef>

namespace lagoon::policy {

/// Histogram of how long a target was idle between uses. Bucket bounds are powers of two of seconds, and the weight of
/// old gaps decays. The histogram is kept also while the target isn't loaded: otherwise only the short gaps would be
/// recorded.
class IdleGaps {
public:
    /// The last bucket counts all gaps of 36 hours (2^17 s) or more.
    static constexpr std::size_t buckets = 18;

    void record(framework::Milliseconds gap);
    /// Returns these gaps plus a few that are distributed like `others`. With the gaps of all targets of an upstream as
    /// the prior, a target that was hardly used yet gets a better estimate than without any assumption.
    IdleGaps withPrior(const IdleGaps& others) const;
    /// Decayed number of gaps in a bucket.
    double weight(std::size_t bucket) const { return weights_[bucket]; }
    /// Length of the longest gap that a bucket counts.
    static double upperBoundSeconds(std::size_t bucket);

private:
    std::array<float, buckets> weights_ {};
};

} // namespace lagoon::policy
