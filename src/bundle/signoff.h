#pragma once

#include "bundle/storedbundle.h"

#include <string>

namespace lagoon::bundle {

/// Who does something, and when, for people: UTC.
struct OperatorAction {
    std::string operatorName;
    std::string at;
};

/// Stores the bundle's parts and then its manifest, which is never changed afterwards. Signing off the same content
/// again succeeds and changes nothing. `PlatformConflict`, with the other operator's name, if the version holds
/// something else.
framework::Result<BundleManifest> signOff(
    objectstore::IObjectStore&, const Bundle&, const OperatorAction&, framework::Deadline);

} // namespace lagoon::bundle
