#include "framework/boundedlabels.h"

namespace lagoon::framework {

namespace {

/// Longer values are treated as if there were too many.
constexpr std::size_t maxLabelBytes = 256;

} // namespace

std::string BoundedLabels::label(const std::string& value)
{
    if (kept_.contains(value))
        return value;
    if (kept_.size() >= limit_ || value.size() > maxLabelBytes)
        return other;
    kept_.insert(value);
    return value;
}

} // namespace lagoon::framework
