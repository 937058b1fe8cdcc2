#include "router/internal/vmlistwatcher.h"

#include "framework/eventloop.h"
#include "framework/logging.h"

#include <algorithm>

namespace lagoon::router {

using framework::Deadline;
using framework::Milliseconds;

namespace {

/// Maximum duration of one long poll. A silent connection is detected after this time plus a call's timeout, which
/// bounds how late the watcher sees that a VM leaves.
constexpr Milliseconds waitLimit { 2500 };
constexpr Milliseconds minRetryDelay { 200 };
constexpr Milliseconds maxRetryDelay { 3000 };

} // namespace

VmListWatcher::VmListWatcher(std::shared_ptr<objectstore::IVmList> list, framework::IControlExecutor& control,
    const framework::IClock& clock, std::shared_ptr<framework::Metrics> metrics,
    std::function<void(const objectstore::VmEntries&)> onChange)
    : list_(std::move(list))
    , control_(control)
    , clock_(clock)
    , metrics_(std::move(metrics))
    , onChange_(std::move(onChange))
{
}

VmListWatcher::~VmListWatcher() { stop(); }

void VmListWatcher::start()
{
    thread_ = std::thread([this] {
        while (!stop_.stop_requested()) {
            try {
                follow();
            } catch (...) {
                framework::reportException("the watcher of the list of VMs");
                pause(minRetryDelay);
            }
        }
    });
}

void VmListWatcher::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stop_.request_stop();
    }
    stopped_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void VmListWatcher::follow()
{
    std::uint64_t known = 0;
    Milliseconds wait = minRetryDelay;
    bool isReachable = true;
    while (!stop_.stop_requested()) {
        const auto snapshot = list_->waitForChange(known, Deadline::after(clock_.now(), waitLimit), stop_.get_token());
        if (stop_.stop_requested())
            return;
        if (snapshot.has_error()) {
            metrics_->count("lagoon_vm_list_failures_total");
            if (std::exchange(isReachable, false))
                framework::logWarning("router", "the list of VMs can't be read: " + describe(snapshot.error()));
            pause(wait);
            wait = std::min(maxRetryDelay, wait * 2);
            continue;
        }
        if (!std::exchange(isReachable, true))
            framework::logInfo("router", "the list of VMs can be read again");
        wait = minRetryDelay;
        if (snapshot.value().version == known)
            continue;
        known = snapshot.value().version;
        control_.post([this, vms = snapshot.value().vms] { onChange_(vms); });
    }
}

void VmListWatcher::pause(Milliseconds duration)
{
    std::unique_lock lock(mutex_);
    stopped_.wait_for(lock, duration, [this] { return stop_.stop_requested(); });
}

} // namespace lagoon::router
