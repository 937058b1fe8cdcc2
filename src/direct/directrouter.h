#pragma once

#include "catalog/icatalogdecoder.h"
#include "direct/directsettings.h"
#include "forwarding/irequestdialect.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "objectstore/iobjectfeed.h"

#include <memory>

/// The processes of deployments whose servers are reached straight: see docs/PLATFORM.md.
namespace lagoon::direct {

/// What a direct router speaks to the outside with.
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

/// Takes callers' requests and sends them straight to servers. Wires its parts together.
class DirectRouter {
public:
    DirectRouter(const DirectRouterPorts&, const DirectRouterSettings&);
    ~DirectRouter();
    DirectRouter(const DirectRouter&) = delete;
    DirectRouter& operator=(const DirectRouter&) = delete;

    /// Listens and begins to read configuration and servers; ready for callers once it has both.
    framework::Result<DirectRouterEndpoints> start();
    /// Takes up what may change while it runs: the bounds of repeats, and the grace period.
    void reload(const DirectRouterSettings&);
    /// Not ready at once; takes and finishes what still comes until balancers have noticed, then what is under way, as
    /// long as the grace period allows. Each request has its final answer by then: what can't be served any more is
    /// refused. Blocks until then.
    void drain();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::direct
