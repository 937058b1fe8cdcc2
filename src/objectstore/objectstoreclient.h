#pragma once

#include "framework/metrics.h"
#include "framework/types/time.h"
#include "objectstore/iobjectstore.h"
#include "objectstore/ivmlist.h"

#include <memory>
#include <string>

namespace lagoon::objectstore {

struct ObjectStoreSettings {
    /// Base URL of the platform, such as `http://10.0.0.9:8080`.
    std::string url;
    /// Time limit for the answer to one call. A watch has its waiting time in addition.
    framework::Milliseconds callTimeout { 1000 };
    /// Rate and burst of the token bucket for calls. Calls beyond it fail at once, which protects the platform.
    double callsPerSecond = 50;
    double callBurst = 100;
};

/// HTTP clients for the platform's object API and VM list.
struct ObjectStoreClient {
    std::shared_ptr<IObjectStore> store;
    std::shared_ptr<IVmList> vmList;
};

ObjectStoreClient makeObjectStoreClient(const ObjectStoreSettings&, std::shared_ptr<framework::Metrics>);

} // namespace lagoon::objectstore
