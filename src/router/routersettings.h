#pragma once

#include "callers/callersettings.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/processidentity.h"
#include "framework/types/shutdowndeadlines.h"
#include "objectstore/objectstoreclient.h"
#include "quarantine/quarantinesettings.h"
#include "router/types/routersettings.h"

#include <string>

namespace lagoon::router {

/// The complete settings of a router. See docs/OPERATING.md for the keys.
struct RouterSettings {
    framework::ProcessIdentity identity;
    framework::Endpoint callers;
    framework::Endpoint link;
    framework::Endpoint ops;
    objectstore::ObjectStoreSettings platform;
    callers::CallerLimits limits;
    DispatchSettings dispatch;
    quarantine::QuarantineSettings quarantine;
    /// Time from the shutdown request until the platform kills the process.
    framework::Milliseconds shutdownGrace = framework::defaultGrace;
};

/// Parses and validates a settings text. The error describes the first fault with the source, the key and the expected
/// value.
framework::Result<RouterSettings> parseRouterSettings(const std::string& text, const std::string& source);

} // namespace lagoon::router
