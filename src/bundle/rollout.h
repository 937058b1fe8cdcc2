#pragma once

#include "bundle/signoff.h"
#include "bundle/types/bundlehead.h"

#include <cstddef>

namespace lagoon::bundle {

struct RollOutResult {
    BundleHead head;
    /// Version that was in force before; 0 if there was none.
    framework::BundleVersion previous;
    /// Number of replica objects whose count was lowered before the head was moved.
    std::size_t lowered = 0;
};

/// Brings a signed-off bundle into force: writes lowered counts to the replica objects, then moves the head.
///
/// Fails with `PlatformConflict`, naming the other operator and version, if the version isn't above the one in force or
/// another operator's roll-out won a race; the lowered counts are reverted in that case. The error has
/// `Execution::Unknown` if the roll-out may still take effect.
framework::Result<RollOutResult> rollOut(
    objectstore::IObjectStore&, framework::BundleVersion, const OperatorAction&, framework::Deadline);

} // namespace lagoon::bundle
