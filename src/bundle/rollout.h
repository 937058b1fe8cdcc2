#pragma once

#include "bundle/signoff.h"
#include "bundle/types/bundlehead.h"

#include <cstddef>

namespace lagoon::bundle {

struct RollOutResult {
    BundleHead head;
    /// 0 if none was in force.
    framework::BundleVersion previous;
    /// Replica objects whose count was lowered before the head was moved.
    std::size_t lowered = 0;
};

/// Brings a signed-off bundle into force: writes lowered counts to the replica objects, then moves the head.
///
/// `PlatformConflict`, with the winner's name and version, if the version isn't above the one in force or another
/// operator was faster; the lowered counts are taken back then. `Execution::Unknown` if it may still take effect.
framework::Result<RollOutResult> rollOut(
    objectstore::IObjectStore&, framework::BundleVersion, const OperatorAction&, framework::Deadline);

} // namespace lagoon::bundle
