#pragma once

#include "callers/callersettings.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/processidentity.h"
#include "framework/types/serviceend.h"
#include "objectstore/objectstoreclient.h"
#include "router/types/routersettings.h"

#include <string>

namespace lagoon::router {

/// All that a router is told. See docs/OPERATING.md for the keys.
struct RouterSettings {
    framework::ProcessIdentity identity;
    framework::Endpoint callers;
    framework::Endpoint link;
    framework::Endpoint ops;
    objectstore::ObjectStoreSettings platform;
    callers::CallerLimits limits;
    DispatchSettings dispatch;
    /// From the request to end until the process is ended by force.
    framework::Milliseconds shutdownGrace = framework::defaultGrace;
};

/// Reads and checks a settings text; the first fault names the source, the key and what was expected.
framework::Result<RouterSettings> parseRouterSettings(const std::string& text, const std::string& source);

} // namespace lagoon::router
