#pragma once

#include "catalog/types/softwareversion.h"

#include <optional>

namespace lagoon::forwarding {

/// What a server needs to go on with a stream: events of different versions don't fit together, and servers don't check
/// this.
struct RequiredVersion {
    /// std::nullopt if the version of the stream's events isn't known, so that no server may go on with it.
    std::optional<catalog::SoftwareVersion> version;

    bool isMetBy(const std::optional<catalog::SoftwareVersion>& ofServer) const
    {
        return version && ofServer && *version == *ofServer;
    }
};

} // namespace lagoon::forwarding
