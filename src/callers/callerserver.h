#pragma once

#include "bundle/types/bundle.h"
#include "callers/icaller.h"
#include "callers/types/callerlimits.h"
#include "framework/metrics.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <functional>
#include <memory>

namespace lagoon::callers {

/// Returns the bundle in force, or null before the first one. Called from any thread.
using BundleSource = std::function<bundle::BundlePointer()>;

/// The callers' HTTP API (docs/API.md): validates each request and passes it to the dispatcher, or refuses it at once.
///
/// cpprest's `close` truncates answers in flight, so a graceful shutdown calls `refuseNew`, `waitUntilIdle` and `stop`
/// in this order.
class CallerServer {
public:
    CallerServer(CallerLimits, IRequestDispatcher&, BundleSource, framework::Incarnation router,
        std::shared_ptr<framework::Metrics>);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// Listens on the endpoint and returns the one in use; port 0 selects any free port.
    framework::Result<framework::Endpoint> start(const framework::Endpoint&);
    /// Refuses all new requests as `shutting_down` and not run, and closes each connection after its answer.
    void refuseNew();
    /// Blocks until the reply to each accepted request has been sent or has failed. Call `refuseNew` first.
    void waitUntilIdle();
    /// Blocks until the server is idle, at most until the deadline. Returns whether it is idle.
    bool waitUntilIdle(framework::Deadline);
    /// Blocks until the server is idle and has also sent the refusals that can only be sent after the rest of their
    /// requests' bodies has arrived. Returns false if the deadline passes first, since some of these bodies never
    /// arrive.
    bool waitUntilAllSent(framework::Deadline);
    /// Closes the listener, which truncates answers still in flight. Call `waitUntilIdle` first, since closing a busy
    /// listener occasionally crashes the process with cpprest 2.10.18. No request is dispatched after this returns.
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::callers
