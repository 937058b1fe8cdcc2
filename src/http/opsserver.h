#pragma once

#include "framework/metrics.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <functional>
#include <memory>
#include <string>

namespace lagoon::http {

/// What a process shows operators and the balancer. Called on HTTP threads.
struct OpsViews {
    std::function<bool()> isReady;
    /// JSON of the process's state.
    std::function<std::string()> status;
};

/// `GET /metrics`, `/livez`, `/readyz` (200 or 503) and `/status` on a port of their own.
class OpsServer {
public:
    OpsServer(OpsViews, std::shared_ptr<framework::Metrics>);
    ~OpsServer();
    OpsServer(const OpsServer&) = delete;
    OpsServer& operator=(const OpsServer&) = delete;

    /// Listens on the endpoint (port 0: any free one) and returns the one in use.
    framework::Result<framework::Endpoint> start(const framework::Endpoint&);
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::http
