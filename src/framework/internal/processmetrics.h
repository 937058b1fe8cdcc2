#pragma once

#include <prometheus/metric_family.h>
#include <vector>

namespace lagoon::framework {

/// Metrics of the process as a whole, as of now.
std::vector<prometheus::MetricFamily> processMetrics();

} // namespace lagoon::framework
