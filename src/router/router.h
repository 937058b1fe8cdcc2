#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "router/routersettings.h"

#include <memory>

/// The process that accepts callers' requests: it tracks each request until its single final answer, and acts as the
/// home (the router that coordinates loads) of some targets.
namespace lagoon::router {

/// The endpoints on which a running router listens.
struct RouterEndpoints {
    framework::Endpoint callers;
    framework::Endpoint link;
    framework::Endpoint ops;
};

/// Creates and connects the router's components. A process usually has one router; programs that embed the router may
/// create several.
class Router {
public:
    explicit Router(const RouterSettings&);
    ~Router();
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    /// Opens the listening sockets and starts to read the bundle and the VM list. The router reports ready once it has
    /// both.
    /// An error that has `retryAfter` means that a port is held; call this again until it is free.
    framework::Result<RouterEndpoints> start();
    /// Refuses new requests as not run and returns once the requests in flight have ended. Returns before the
    /// configured grace period is over: requests that can't finish by then are refused or broken off. Takes at least
    /// 2.5 s, or half of a shorter grace period, even if nothing is in flight, so that callers and load balancers
    /// notice the shutdown. Closes no connections.
    void drain();
    /// Drains, then closes all connections and stops all threads.
    void shutDown();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::router
