#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "objectstore/ivmlist.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <stop_token>
#include <thread>

namespace lagoon::router {

/// Watches the platform's list of VMs on its own thread. During a platform outage the last known list stays in force.
class VmListWatcher {
public:
    VmListWatcher(std::shared_ptr<objectstore::IVmList>, framework::IControlExecutor&, const framework::IClock&,
        std::shared_ptr<framework::Metrics>, std::function<void(const objectstore::VmEntries&)> onChange);
    ~VmListWatcher();
    VmListWatcher(const VmListWatcher&) = delete;
    VmListWatcher& operator=(const VmListWatcher&) = delete;

    void start();
    void stop();

private:
    void follow();
    void pause(framework::Milliseconds);

    std::shared_ptr<objectstore::IVmList> list_;
    framework::IControlExecutor& control_;
    const framework::IClock& clock_;
    std::shared_ptr<framework::Metrics> metrics_;
    std::function<void(const objectstore::VmEntries&)> onChange_;
    std::stop_source stop_;
    std::mutex mutex_;
    std::condition_variable stopped_;
    std::thread thread_;
};

} // namespace lagoon::router
