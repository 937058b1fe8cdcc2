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

/// Gives the bundle in force, null before the first. Called from any thread.
using BundleSource = std::function<bundle::BundlePointer()>;

/// The callers' HTTP API (docs/API.md): checks each request and hands it to the dispatcher, or refuses it at once.
///
/// Graceful shutdown, since cpprest's `close` cuts answers in flight: `refuseNew`, `waitUntilIdle`, `stop`.
class CallerServer {
public:
    CallerServer(CallerLimits, IRequestDispatcher&, BundleSource, framework::Incarnation router,
        std::shared_ptr<framework::Metrics>);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /// Listens on the endpoint (port 0: any free one) and returns the one in use.
    framework::Result<framework::Endpoint> start(const framework::Endpoint&);
    /// From here on each new request is refused as `shutting_down`, not run, and connections end with their answers.
    void refuseNew();
    /// Returns once the reply of each request taken so far has left or failed. Call `refuseNew` first.
    void waitUntilIdle();
    /// As `waitUntilIdle`, but gives up at the deadline; whether it is idle.
    bool waitUntilIdle(framework::Deadline);
    /// Besides, the refusals have left that wait for the rest of their requests' bodies; gives up at the deadline, as
    /// some of these never come.
    bool waitUntilAllSent(framework::Deadline);
    /// Closes the listener, which cuts what is still in flight; cpprest 2.10.18 seldom crashes the process then, so
    /// wait until idle before. No request is dispatched after it returns.
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::callers
