#include "engines/drainwatch.h"

#include <algorithm>

namespace lagoon::engines {

namespace {

using framework::Milliseconds;
using framework::ModelName;
using framework::SteadyTime;

/// Until some drains have been seen.
constexpr Milliseconds assumed { 500 };

} // namespace

DrainWatch::DrainWatch()
    : mean_(assumed)
{
}

void DrainWatch::noteDrained(const Uses& uses, SteadyTime now)
{
    std::erase_if(since_, [&](const auto& entry) {
        if (uses(entry.first) > 0)
            return false;
        mean_.add(std::chrono::duration_cast<Milliseconds>(now - entry.second));
        return true;
    });
}

void DrainWatch::noteLeaving(const std::vector<ModelName>& leaving, const Uses& uses, SteadyTime now)
{
    std::erase_if(since_,
        [&](const auto& entry) { return std::find(leaving.begin(), leaving.end(), entry.first) == leaving.end(); });
    for (const ModelName& model : leaving) {
        if (uses(model) > 0)
            since_.try_emplace(model, now);
    }
}

Milliseconds DrainWatch::expected(const std::vector<ModelName>& models, const Uses& uses, SteadyTime now) const
{
    Milliseconds longest(0);
    for (const ModelName& model : models) {
        if (uses(model) == 0)
            continue;
        longest = std::max(longest, mean_.mean());
        const auto since = since_.find(model);
        if (since != since_.end())
            longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(now - since->second));
    }
    return longest;
}

} // namespace lagoon::engines
