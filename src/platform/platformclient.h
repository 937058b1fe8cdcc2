#pragma once

#include "framework/metrics.h"
#include "framework/types/time.h"
#include "platform/iplatformstore.h"
#include "platform/ivmlist.h"

#include <memory>
#include <string>

namespace lagoon::platform {

struct PlatformSettings {
    /// Such as `http://10.0.0.9:8080`.
    std::string url;
    /// Longest wait for one call's answer, watches aside.
    framework::Milliseconds callTimeout { 1000 };
    /// Calls that may be under way or started in a second, beyond which they fail at once; protects the platform.
    double callsPerSecond = 50;
    double callBurst = 100;
};

/// Both of the platform's interfaces over HTTP.
struct PlatformClient {
    std::shared_ptr<IPlatformStore> store;
    std::shared_ptr<IVmList> vmList;
};

PlatformClient makePlatformClient(const PlatformSettings&, std::shared_ptr<framework::Metrics>);

} // namespace lagoon::platform
