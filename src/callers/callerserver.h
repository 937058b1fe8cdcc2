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
/// A graceful shutdown calls `refuseNew`, `waitUntilIdle`, `waitUntilAllSent` and `stop` in this order.
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
    /// Refuses requests that have arrived only in part, closes idle connections, and blocks until all answers and
    /// refusals have been sent. Returns false if the deadline passes first.
    bool waitUntilAllSent(framework::Deadline);
    /// Closes all connections, which truncates answers still in flight: call `waitUntilIdle` first. No request is
    /// dispatched after this returns.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::callers
