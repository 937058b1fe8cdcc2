#pragma once

#include "callers/icaller.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/periodictask.h"
#include "framework/workerpool.h"
#include "objectstore/iobjectstore.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lagoon::router {

/// An idempotency key that this router has claimed.
struct ClaimedKey {
    objectstore::ObjectKey object;
    framework::ObjectVersion version;
};

/// Ensures that of the non-repeatable calls with the same idempotency key only one runs, whichever routers they reach:
/// the first one creates an object in the platform, and only that one runs. Each such call costs one write, and a
/// second one if it turns out not to have run. This suits today's rates, but not 16,000 such requests per second
/// (docs/CAPACITY.md).
class IdempotencyKeys {
public:
    using ClaimHandler = std::function<void(const framework::Result<ClaimedKey>&)>;

    IdempotencyKeys(std::shared_ptr<objectstore::IObjectStore>, framework::WorkerPool&, framework::IControlExecutor&,
        const framework::IClock&, std::shared_ptr<framework::Metrics>, framework::Milliseconds retention);

    /// Claims the request's key. Fails with `DuplicateKey` if the key was claimed before; whether that earlier request
    /// ran is unknown then. If the platform doesn't answer, the request is refused as not run. The handler is called on
    /// the control thread.
    void claim(const callers::CallerRequest&, ClaimHandler);
    /// Releases the key of a request that is known not to have run, so that the key can be claimed again.
    void release(const ClaimedKey&);
    /// Blocks until the platform has answered all claims and releases, or until the deadline.
    void waitUntilSettled(framework::Deadline);
    /// Starts the periodic sweep, once per retention period. A sweep removes keys older than the retention period,
    /// including those of crashed routers. It is skipped unless `isOwner` returns true, so that one router does the
    /// work.
    void startSweeping(std::function<bool()> isOwner);

private:
    using SeenKeys = std::map<std::string, framework::ObjectVersion>;

    void beginCall();
    void endCall();
    void sweep();
    void removeExpired();

    std::shared_ptr<objectstore::IObjectStore> store_;
    framework::WorkerPool& workers_;
    framework::IControlExecutor& control_;
    const framework::IClock& clock_;
    std::shared_ptr<framework::Metrics> metrics_;
    std::function<bool()> isOwner_;
    framework::PeriodicTask sweeps_;
    /// Keys that the last sweep left in place. Accessed on worker threads only, by one sweep at a time.
    SeenKeys seen_;
    std::mutex callsMutex_;
    std::condition_variable settled_;
    /// Number of claims and releases in progress, including claims whose handler hasn't returned yet.
    std::size_t calls_ = 0;
};

} // namespace lagoon::router
