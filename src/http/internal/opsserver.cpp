#include "http/opsserver.h"

#include "http/listener.h"

namespace lagoon::http {

using web::http::http_request;
using web::http::methods;
using web::http::status_codes;

class OpsServer::Implementation {
public:
    Implementation(OpsViews views, std::shared_ptr<framework::Metrics> metrics)
        : views_(std::move(views))
        , metrics_(std::move(metrics))
    {
    }

    framework::Result<framework::Endpoint> start(const framework::Endpoint& endpoint)
    {
        BOOST_OUTCOME_TRY(open, openListener(endpoint, [this](const http_request& request) { answer(request); }));
        listener_ = std::move(open.listener);
        return open.endpoint;
    }

    void stop()
    {
        if (!listener_)
            return;
        listener_->close().wait();
        listener_.reset();
    }

private:
    void answer(const http_request& request)
    {
        const std::string path = request.relative_uri().path();
        if (request.method() == methods::DEL && views_.release)
            request.reply(views_.release(request.relative_uri().to_string()));
        else if (request.method() != methods::GET)
            request.reply(status_codes::MethodNotAllowed);
        else if (path == "/metrics")
            request.reply(status_codes::OK, metrics_->text(), "text/plain; version=0.0.4");
        else if (path == "/livez")
            request.reply(status_codes::OK, "live\n");
        else if (path == "/readyz" && views_.isReady())
            request.reply(status_codes::OK, "ready\n");
        else if (path == "/readyz")
            request.reply(status_codes::ServiceUnavailable, "not ready\n");
        else if (path == "/status")
            request.reply(status_codes::OK, views_.status(), "application/json");
        else if (path == "/quarantine" && views_.quarantine)
            request.reply(status_codes::OK, views_.quarantine(), "application/json");
        else
            request.reply(status_codes::NotFound);
    }

    OpsViews views_;
    std::shared_ptr<framework::Metrics> metrics_;
    std::unique_ptr<web::http::experimental::listener::http_listener> listener_;
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
