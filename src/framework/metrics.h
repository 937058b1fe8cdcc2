#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}

namespace lagoon::framework {

using MetricLabels = std::map<std::string, std::string>;

/// The process's counters, gauges and histograms. Thread-safe. Names follow Prometheus: `lagoon_<what>_total`.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void count(const std::string& name, const MetricLabels& labels = {}, double amount = 1);
    void setGauge(const std::string& name, double value, const MetricLabels& labels = {});
    /// Adds a duration to a histogram with buckets from 1 ms to 10 min.
    void observeSeconds(const std::string& name, double seconds, const MetricLabels& labels = {});
    /// Returns all metrics in Prometheus' text format, for `GET /metrics`.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace lagoon::framework
