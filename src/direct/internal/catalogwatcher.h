#pragma once

#include "catalog/icatalogdecoder.h"
#include "direct/internal/serverentries.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "objectstore/objectmirror.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::direct {

/// Keeps the operator's configuration and the list of servers up to date. Runs on the control thread.
class CatalogWatcher {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        objectstore::IObjectFeed& configurations;
        objectstore::IObjectFeed& servers;
        const catalog::ICatalogDecoder& decoder;
        /// See `DirectRouterSettings::leavingNotice`.
        framework::Milliseconds leavingNotice;
        /// See `DirectRouterSettings::outageNotice`.
        framework::Milliseconds outageNotice;
        /// See `DirectRouterSettings::heartbeat`.
        framework::Milliseconds heartbeat;
        std::function<void(catalog::ConfigurationPointer)> didConfigure;
        /// Called with a time as of which the configuration was up to date.
        std::function<void(framework::SteadyTime)> didConfirmConfiguration;
        std::function<void(const std::vector<catalog::Upstream>&)> didListServers;
        /// Called with a time as of which the list of servers was up to date.
        std::function<void(framework::SteadyTime)> didConfirmServers;
    };

    /// Returns the longest time between two confirmations of the configuration while the store answers.
    static framework::Milliseconds maxUnconfirmed(framework::Milliseconds leavingNotice);

    explicit CatalogWatcher(Context);
    CatalogWatcher(const CatalogWatcher&) = delete;
    CatalogWatcher& operator=(const CatalogWatcher&) = delete;

    void start();
    /// Whether both the configuration and the list of servers are known.
    bool isComplete() const { return configuration_ && servers_.hasListed(); }

private:
    void applyConfiguration(const objectstore::FeedObject&);
    void confirmConfiguration(framework::SteadyTime);
    void applyServer(const objectstore::FeedObject&);
    void removeServer(const std::string& name, objectstore::ObjectMirror::Removal);
    void confirmServers(framework::SteadyTime);
    void schedulePublish();
    void publishServers();
    /// Returns whether the set of entries left out for an unknown service has changed.
    bool updateUnknownServices();

    Context context_;
    catalog::ConfigurationPointer configuration_;
    bool isNewestInForce_ = false;
    ServerEntries entries_;
    bool isPublishScheduled_ = false;
    objectstore::ObjectMirror configurations_;
    objectstore::ObjectMirror servers_;
};

} // namespace lagoon::direct
