#pragma once

#include "forwarding/forwarder.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "http/iexchange.h"
#include "quarantine/suspectreport.h"

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

/// Answers operators: the quarantine at its path, all metrics at any other.
class RouterOpsHandler final : public http::IExchangeHandler {
public:
    RouterOpsHandler(
        std::shared_ptr<framework::Metrics> metrics, forwarding::Forwarder& forwarder, const framework::IClock& clock)
        : metrics_(std::move(metrics))
        , forwarder_(forwarder)
        , clock_(clock)
    {
    }

    void handle(const std::shared_ptr<http::IExchange>& exchange) override
    {
        const http::Request& request = exchange->request();
        if (request.method == "DELETE")
            return release(*exchange);
        if (request.target != quarantine::quarantinePath)
            return metrics_.handle(exchange);
        http::ResponseHead head { 200, {}, {} };
        head.headers.add("Content-Type", "application/json");
        exchange->answer(std::move(head), quarantine::reportSuspects(forwarder_.suspects(), clock_.now()));
    }

private:
    void release(http::IExchange& exchange)
    {
        const auto order = quarantine::parseRelease(exchange.request().target);
        const unsigned status = !order ? 400U : forwarder_.release(*order) ? 200U : 404U;
        exchange.answer(http::ResponseHead { status, {}, {} }, {});
    }

    MetricsHandler metrics_;
    forwarding::Forwarder& forwarder_;
    const framework::IClock& clock_;
};

} // namespace lagoon::direct
