#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace lagoon::framework {

/// Bounds the number of values of a metric's label, and so the metric's memory and the size of its report: the first
/// values keep their text, all others share one.
class BoundedLabels {
public:
    static constexpr const char* other = "other";

    explicit BoundedLabels(std::size_t limit = 64)
        : limit_(limit)
    {
    }

    /// Returns the value to use as the label's.
    std::string label(const std::string& value);

private:
    std::size_t limit_;
    std::set<std::string> kept_;
};

} // namespace lagoon::framework
