#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lagoon::bundle {

/// Which bundle is in force; the value of the platform's object `bundle-head`.
struct BundleHead {
    framework::BundleVersion version;
    /// SHA-256 of the object `bundles/<version>`.
    std::string digest;
    /// Recognises the roll-out's own write after its answer was lost.
    std::string nonce;
    std::string operatorName;
    /// UTC, for people.
    std::string rolledOutAt;

    friend bool operator==(const BundleHead&, const BundleHead&) = default;
};

} // namespace lagoon::bundle
