#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "router/routersettings.h"

#include <memory>

/// The process that callers speak to: keeps each request until its one final answer, and is home for some targets.
namespace lagoon::router {

/// Where a running router can be reached.
struct RouterEndpoints {
    framework::Endpoint callers;
    framework::Endpoint link;
    framework::Endpoint ops;
};

/// Wires the router's parts together. One per process or, in programs that embed it, one per object.
class Router {
public:
    explicit Router(const RouterSettings&);
    ~Router();
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    /// Listens and begins to read the bundle and the VM list; ready for callers once it has both.
    framework::Result<RouterEndpoints> start();
    /// Refuses new requests as not run and returns once those in flight have ended, before the grace period of the
    /// settings is over: what can't end by then is refused or broken off. Takes 2.5 s, or half of a shorter grace
    /// period, also if nothing is in flight, so that callers and balancers notice. Nothing is closed yet.
    void drain();
    /// Drains, then closes all.
    void shutDown();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::router
