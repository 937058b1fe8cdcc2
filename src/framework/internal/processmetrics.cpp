#include "framework/internal/processmetrics.h"

#include "framework/eventloop.h"

#include <string>

namespace lagoon::framework {

namespace {

prometheus::MetricFamily counter(const std::string& name, double value)
{
    prometheus::ClientMetric metric;
    metric.counter.value = value;
    return { name, {}, prometheus::MetricType::Counter, { metric } };
}

} // namespace

std::vector<prometheus::MetricFamily> processMetrics()
{
    return { counter("lagoon_exceptions_total", static_cast<double>(reportedExceptions())) };
}

} // namespace lagoon::framework
