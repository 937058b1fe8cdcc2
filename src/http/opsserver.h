#pragma once

#include "framework/metrics.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <functional>
#include <memory>
#include <string>

namespace lagoon::http {

/// Provides the process's state for operators and the load balancer. Called on the HTTP thread, one at a time.
struct OpsViews {
    std::function<bool()> isReady;
    /// Returns the process's state as JSON.
    std::function<std::string()> status;
    /// Returns the requests that crashed their servers, as JSON; null if the process knows of none.
    std::function<std::string()> quarantine = nullptr;
    /// Releases the request that the target names, and returns the status to answer; null like `quarantine`.
    std::function<unsigned short(const std::string& target)> release = nullptr;
};

/// Serves `GET /metrics`, `/livez`, `/readyz` (200 or 503) and `/status` on a separate port, and `GET /quarantine` and
/// `DELETE /quarantine/FINGERPRINT` if the process has a quarantine.
class OpsServer {
public:
    OpsServer(OpsViews, std::shared_ptr<framework::Metrics>);
    ~OpsServer();
    OpsServer(const OpsServer&) = delete;
    OpsServer& operator=(const OpsServer&) = delete;

    /// Listens on the endpoint and returns the one in use; port 0 selects any free port.
    framework::Result<framework::Endpoint> start(const framework::Endpoint&);
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::http
