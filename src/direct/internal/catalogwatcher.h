#pragma once

#include "catalog/icatalogdecoder.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "objectstore/objectmirror.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::direct {

/// Keeps the operator's configuration and the list of servers up to date. Belongs to the control thread.
class CatalogWatcher {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        objectstore::IObjectFeed& configurations;
        objectstore::IObjectFeed& servers;
        const catalog::ICatalogDecoder& decoder;
        /// As `DirectRouterSettings::leavingNotice`.
        framework::Milliseconds leavingNotice;
        /// As `DirectRouterSettings::outageNotice`.
        framework::Milliseconds outageNotice;
        std::function<void(catalog::ConfigurationPointer)> didConfigure;
        std::function<void(const std::vector<catalog::Upstream>&)> didListServers;
        /// The list of servers was current as of this time.
        std::function<void(framework::SteadyTime)> didConfirmServers;
    };

    explicit CatalogWatcher(Context);
    CatalogWatcher(const CatalogWatcher&) = delete;
    CatalogWatcher& operator=(const CatalogWatcher&) = delete;

    void start();
    /// Whether both are known.
    bool isComplete() const { return configuration_ && servers_.hasListed(); }

private:
    /// What the list says under one name.
    struct Entry {
        /// Nothing if the newest content isn't a server's.
        std::optional<catalog::Upstream> upstream;
        /// The latest start that was ever said there.
        std::optional<catalog::StartTime> started;
        /// The content isn't used, as no service of the configuration is meant.
        bool isOfUnknownService = false;
    };

    void applyConfiguration(const objectstore::FeedObject&);
    void applyServer(const objectstore::FeedObject&);
    void applyDraining(Entry&, const catalog::Upstream& earlier);
    framework::Result<catalog::Upstream> readServer(const objectstore::FeedObject&, const Entry&) const;
    void logServerChange(const objectstore::FeedObject&, const Entry& before, const catalog::Upstream&) const;
    void removeServer(const std::string& name);
    void schedulePublish();
    void publishServers();
    /// Whether other entries than before are left out.
    bool updateUnknownServices();
    std::vector<catalog::Upstream> newestByEndpoint() const;

    Context context_;
    catalog::ConfigurationPointer configuration_;
    std::map<std::string, Entry> entries_;
    bool isPublishScheduled_ = false;
    objectstore::ObjectMirror configurations_;
    objectstore::ObjectMirror servers_;
};

} // namespace lagoon::direct
