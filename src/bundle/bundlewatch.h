#pragma once

#include "bundle/ibundlewatch.h"
#include "framework/controlthread.h"
#include "framework/metrics.h"
#include "platform/iplatformstore.h"

#include <cstdint>
#include <memory>

namespace lagoon::bundle {

/// Routers watch the head with one waiting call each; agents hear of new versions from routers, and poll rarely.
enum class HeadMode : std::uint8_t { Watch, Listen };

/// Reads the head and the bundles it names on a thread of its own.
std::shared_ptr<IBundleWatch> makeBundleWatch(HeadMode, std::shared_ptr<platform::IPlatformStore>,
    framework::IControlExecutor&, std::shared_ptr<framework::Metrics>);

} // namespace lagoon::bundle
