#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lagoon::bundle {

/// Names the bundle in force; the value of the platform object `bundle-head`.
struct BundleHead {
    framework::BundleVersion version;
    /// SHA-256 of the value of the object `bundles/<version>`.
    std::string digest;
    /// Identifies the write of the roll-out if its answer was lost.
    std::string nonce;
    std::string operatorName;
    /// Time of the roll-out in UTC, for display only.
    std::string rolledOutAt;

    friend bool operator==(const BundleHead&, const BundleHead&) = default;
};

} // namespace lagoon::bundle
