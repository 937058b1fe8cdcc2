#pragma once

#include "framework/metrics.h"
#include "http/iexchange.h"

#include <atomic>
#include <memory>

namespace lagoon::direct {

/// Answers load balancers: 200 while the router accepts new callers, otherwise 503.
class ReadinessHandler final : public http::IExchangeHandler {
public:
    void handle(const std::shared_ptr<http::IExchange>& exchange) override
    {
        exchange->answer(http::ResponseHead { isReady_ ? 200U : 503U, {}, {} }, {});
    }
    void setReady(bool isReady) { isReady_ = isReady; }
    bool isReady() const { return isReady_; }

private:
    std::atomic<bool> isReady_ { false };
};

/// Answers with all metrics in Prometheus text format.
class MetricsHandler final : public http::IExchangeHandler {
public:
    explicit MetricsHandler(std::shared_ptr<framework::Metrics> metrics)
        : metrics_(std::move(metrics))
    {
    }

    void handle(const std::shared_ptr<http::IExchange>& exchange) override
    {
        http::ResponseHead head { 200, {}, {} };
        head.headers.add("Content-Type", "text/plain; version=0.0.4");
        exchange->answer(std::move(head), metrics_->text());
    }

private:
    std::shared_ptr<framework::Metrics> metrics_;
};

} // namespace lagoon::direct
