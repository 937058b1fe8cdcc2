#include "http/opsserver.h"

#include "framework/descriptors.h"
#include "framework/eventthread.h"
#include "http/exchangeserver.h"

namespace lagoon::http {

namespace {

/// Of the process's descriptors, operators may take one part.
constexpr std::size_t partsOfDescriptors = 16;

ResponseHead headOf(unsigned status, const std::string& contentType = "text/plain")
{
    ResponseHead head { status, {}, {} };
    head.headers.add("Content-Type", contentType);
    return head;
}

} // namespace

class OpsServer::Implementation final : public IExchangeHandler {
public:
    Implementation(OpsViews views, std::shared_ptr<framework::Metrics> metrics)
        : views_(std::move(views))
        , metrics_(std::move(metrics))
        , server_(thread_, *this)
    {
        server_.setLimits(limitsWithoutBodies());
        server_.setMaxConnections(framework::maxDescriptors() / partsOfDescriptors);
    }

    framework::Result<framework::Endpoint> start(const framework::Endpoint& endpoint)
    {
        return server_.listen(endpoint);
    }

    void stop() { thread_.stop(); }

    void handle(const std::shared_ptr<IExchange>& exchange) override
    {
        const Request& request = exchange->request();
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (request.method == "DELETE" && views_.release)
            exchange->answer(ResponseHead { views_.release(request.target), {}, {} }, {});
        else if (request.method != "GET")
            exchange->answer(ResponseHead { 405, {}, {} }, {});
        else if (path == "/metrics")
            exchange->answer(headOf(200, "text/plain; version=0.0.4"), metrics_->text());
        else if (path == "/livez")
            exchange->answer(headOf(200), "live\n");
        else if (path == "/readyz" && views_.isReady())
            exchange->answer(headOf(200), "ready\n");
        else if (path == "/readyz")
            exchange->answer(headOf(503), "not ready\n");
        else if (path == "/status")
            exchange->answer(headOf(200, "application/json"), views_.status());
        else if (path == "/quarantine" && views_.quarantine)
            exchange->answer(headOf(200, "application/json"), views_.quarantine());
        else
            exchange->answer(ResponseHead { 404, {}, {} }, {});
    }

private:
    OpsViews views_;
    std::shared_ptr<framework::Metrics> metrics_;
    framework::EventThread thread_;
    ExchangeServer server_;
};

OpsServer::OpsServer(OpsViews views, std::shared_ptr<framework::Metrics> metrics)
    : implementation_(std::make_unique<Implementation>(std::move(views), std::move(metrics)))
{
}

OpsServer::~OpsServer() { stop(); }

framework::Result<framework::Endpoint> OpsServer::start(const framework::Endpoint& endpoint)
{
    return implementation_->start(endpoint);
}

void OpsServer::stop() { implementation_->stop(); }

} // namespace lagoon::http
