#pragma once

#include "framework/metrics.h"
#include "framework/types/time.h"
#include "objectstore/iobjectstore.h"
#include "objectstore/ivmlist.h"

#include <memory>
#include <string>

namespace lagoon::objectstore {

struct ObjectStoreSettings {
    /// Such as `http://10.0.0.9:8080`.
    std::string url;
    /// Longest wait for one call's answer, watches aside.
    framework::Milliseconds callTimeout { 1000 };
    /// Calls that may be under way or started in a second, beyond which they fail at once; protects the platform.
    double callsPerSecond = 50;
    double callBurst = 100;
};

/// Both of the platform's interfaces over HTTP.
struct ObjectStoreClient {
    std::shared_ptr<IObjectStore> store;
    std::shared_ptr<IVmList> vmList;
};

ObjectStoreClient makeObjectStoreClient(const ObjectStoreSettings&, std::shared_ptr<framework::Metrics>);

} // namespace lagoon::objectstore
