#pragma once

#include "catalog/icatalogdecoder.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "objectstore/objectmirror.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoon::direct {

/// Keeps the operator's configuration and the list of servers up to date. Belongs to the control thread.
class CatalogWatch {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        objectstore::IObjectFeed& configurations;
        objectstore::IObjectFeed& servers;
        const catalog::ICatalogDecoder& decoder;
        std::function<void(catalog::ConfigurationPointer)> didConfigure;
        std::function<void(const std::vector<catalog::Upstream>&)> didListServers;
    };

    explicit CatalogWatch(Context);
    CatalogWatch(const CatalogWatch&) = delete;
    CatalogWatch& operator=(const CatalogWatch&) = delete;

    void start();
    /// Whether both are known.
    bool isComplete() const { return configuration_ && servers_.hasListed(); }

private:
    void takeConfiguration(const objectstore::FeedObject&);
    void takeServer(const objectstore::FeedObject&);
    void removeServer(const std::string& name);
    void tellServersSoon();
    void tellServers();
    std::vector<catalog::Upstream> newestByEndpoint() const;

    Context context_;
    catalog::ConfigurationPointer configuration_;
    std::map<std::string, catalog::Upstream> upstreams_;
    bool isTelling_ = false;
    objectstore::ObjectMirror configurations_;
    objectstore::ObjectMirror servers_;
};

} // namespace lagoon::direct
