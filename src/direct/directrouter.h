#pragma once

#include "catalog/icatalogdecoder.h"
#include "direct/directsettings.h"
#include "forwarding/irequestdialect.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "objectstore/iobjectfeed.h"

#include <memory>

/// The processes of deployments in which routers send requests directly to servers: see docs/PLATFORM.md.
namespace lagoon::direct {

/// External dependencies of a direct router.
struct DirectRouterPorts {
    framework::ControlThread& control;
    framework::EventThread& traffic;
    const framework::IClock& clock;
    std::shared_ptr<framework::Metrics> metrics;
    objectstore::IObjectFeed& configurations;
    objectstore::IObjectFeed& servers;
    const catalog::ICatalogDecoder& decoder;
    const forwarding::IRequestDialect& dialect;
};

struct DirectRouterEndpoints {
    framework::Endpoint callers;
    framework::Endpoint readiness;
    framework::Endpoint ops;
};

/// Accepts callers' requests and sends them directly to servers. This class connects the process's parts.
class DirectRouter {
public:
    DirectRouter(const DirectRouterPorts&, const DirectRouterSettings&);
    ~DirectRouter();
    DirectRouter(const DirectRouter&) = delete;
    DirectRouter& operator=(const DirectRouter&) = delete;

    /// Listens and starts to read the configuration and the list of servers. Becomes ready for callers once both are
    /// known. An error that has `retryAfter` means that a port for callers or readiness is held; call this again until
    /// it is free.
    framework::Result<DirectRouterEndpoints> start();
    /// Applies the settings that may change at run time: the retry budget, the policies and the grace period.
    void reload(const DirectRouterSettings&);
    /// Shuts the router down and blocks until that is done. Reports not ready at once; accepts new requests until load
    /// balancers have noticed, then finishes the requests in progress, as far as the grace period allows. By its end
    /// each request has its final answer: requests that can't be served any more are refused.
    void drain();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::direct
