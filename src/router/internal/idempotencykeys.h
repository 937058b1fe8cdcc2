#pragma once

#include "callers/icaller.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/workerpool.h"
#include "objectstore/iobjectstore.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lagoon::router {

/// A key that this router was first to bring.
struct ClaimedKey {
    objectstore::ObjectKey object;
    framework::ObjectVersion version;
};

/// Holds calls that may not be repeated and carry the same idempotency key to one run, whichever routers they reach:
/// the first creates an object in the platform, and only it runs. Costs one write for each such call, and one more
/// when it turns out not to have run; so it suits today's rates, not each of 16,000 requests a second
/// (docs/CAPACITY.md).
class IdempotencyKeys {
public:
    using ClaimHandler = std::function<void(const framework::Result<ClaimedKey>&)>;

    IdempotencyKeys(std::shared_ptr<objectstore::IObjectStore>, framework::WorkerPool&, framework::IControlExecutor&,
        const framework::IClock&, std::shared_ptr<framework::Metrics>, framework::Milliseconds retention);

    /// `DuplicateKey` if someone brought the key before; whether that one ran is then unknown. Without the platform's
    /// word the request is refused as not run. The handler is called on the control thread.
    void claim(const callers::CallerRequest&, ClaimHandler);
    /// The request is known not to have run: the key may be brought again.
    void release(const ClaimedKey&);
    /// Blocks until the platform has answered for all claims and releases, or until the deadline.
    void waitUntilSettled(framework::Deadline);
    /// Removes keys older than the retention, those of routers that died among them, if `isOwner` says that this is
    /// the router to do so. Calls itself again after each retention.
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
    framework::Milliseconds retention_;
    std::function<bool()> isOwner_;
    std::unique_ptr<framework::Timer> timer_;
    /// By the last sweep; workers only, one sweep at a time.
    SeenKeys seen_;
    std::mutex callsMutex_;
    std::condition_variable isSettled_;
    /// Claims and releases whose outcome hasn't been taken yet.
    std::size_t calls_ = 0;
};

} // namespace lagoon::router
