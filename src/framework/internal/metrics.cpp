#include "framework/metrics.h"

#include "framework/internal/processmetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace lagoon::framework {

namespace {

const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.83, 2, 5, 15, 60,
    180, 600 };

} // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>(prometheus::Registry::InsertBehavior::Merge))
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string& name, const MetricLabels& labels, double amount)
{
    prometheus::BuildCounter().Name(name).Register(*registry_).Add(labels).Increment(amount);
}

void Metrics::setGauge(const std::string& name, double value, const MetricLabels& labels)
{
    prometheus::BuildGauge().Name(name).Register(*registry_).Add(labels).Set(value);
}

void Metrics::observeSeconds(const std::string& name, double seconds, const MetricLabels& labels)
{
    prometheus::BuildHistogram().Name(name).Register(*registry_).Add(labels, secondsBuckets).Observe(seconds);
}

std::string Metrics::text() const
{
    std::vector<prometheus::MetricFamily> families = registry_->Collect();
    for (prometheus::MetricFamily& family : processMetrics())
        families.push_back(std::move(family));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace lagoon::framework
