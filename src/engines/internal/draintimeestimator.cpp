#include "engines/draintimeestimator.h"

#include <algorithm>

namespace lagoon::engines {

namespace {

using framework::Milliseconds;
using framework::ModelName;
using framework::SteadyTime;

/// Drain time that is expected before any has been observed.
constexpr Milliseconds initialEstimate { 500 };

} // namespace

DrainTimeEstimator::DrainTimeEstimator()
    : mean_(initialEstimate)
{
}

void DrainTimeEstimator::noteDrained(const Uses& uses, SteadyTime now)
{
    std::erase_if(drainingSince_, [&](const auto& entry) {
        if (uses(entry.first) > 0)
            return false;
        mean_.add(std::chrono::duration_cast<Milliseconds>(now - entry.second));
        return true;
    });
}

void DrainTimeEstimator::noteDraining(const std::vector<ModelName>& draining, const Uses& uses, SteadyTime now)
{
    std::erase_if(drainingSince_,
        [&](const auto& entry) { return std::find(draining.begin(), draining.end(), entry.first) == draining.end(); });
    for (const ModelName& model : draining) {
        if (uses(model) > 0)
            drainingSince_.try_emplace(model, now);
    }
}

Milliseconds DrainTimeEstimator::expected(const std::vector<ModelName>& models, const Uses& uses, SteadyTime now) const
{
    Milliseconds longest(0);
    for (const ModelName& model : models) {
        if (uses(model) == 0)
            continue;
        longest = std::max(longest, mean_.mean());
        const auto since = drainingSince_.find(model);
        if (since != drainingSince_.end())
            longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(now - since->second));
    }
    return longest;
}

} // namespace lagoon::engines
