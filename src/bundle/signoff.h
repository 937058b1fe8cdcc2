#pragma once

#include "bundle/storedbundle.h"

#include <string>

namespace lagoon::bundle {

/// Who performs an action, and when.
struct OperatorAction {
    std::string operatorName;
    /// Time in UTC, for display only.
    std::string at;
};

/// Stores the bundle's parts and then its manifest, which is never changed afterwards. Signing off the same content
/// again succeeds and changes nothing. Fails with `PlatformConflict`, naming the other operator, if the version was
/// signed off with other content.
framework::Result<BundleManifest> signOff(
    objectstore::IObjectStore&, const Bundle&, const OperatorAction&, framework::Deadline);

} // namespace lagoon::bundle
