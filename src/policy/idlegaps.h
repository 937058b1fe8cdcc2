#pragma once

#include "framework/types/time.h"

#include <array>
#include <cstddef>

namespace lagoon::policy {

/// How long a target lay idle between uses: a histogram over powers of two of seconds, in which old gaps fade. Kept
/// for a target also while it isn't loaded, or only the short gaps would be known.
class IdleGaps {
public:
    /// The last one has all from 18 hours on.
    static constexpr std::size_t buckets = 18;

    void record(framework::Milliseconds gap);
    /// These gaps and a few that are spread like `others`: those of all targets of an upstream say more about one that
    /// was hardly used yet than no assumption would.
    IdleGaps withPrior(const IdleGaps& others) const;
    /// Gaps counted in a bucket, faded.
    double weight(std::size_t bucket) const { return weights_[bucket]; }
    /// The longest gap of a bucket.
    static double upperBoundSeconds(std::size_t bucket);

private:
    std::array<float, buckets> weights_ {};
};

} // namespace lagoon::policy
