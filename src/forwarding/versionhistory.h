#pragma once

#include "catalog/types/upstream.h"
#include "framework/types/time.h"

#include <map>
#include <optional>
#include <vector>

namespace lagoon::forwarding {

/// Remembers since when the platform's list has shown a single software version of each service. While the list isn't
/// current, servers of other versions may come and go unseen. Reads no clock.
class VersionHistory {
public:
    /// The list counts as current for so long after it was last confirmed.
    static constexpr framework::Milliseconds maxListAge { 3000 };

    void didList(const std::vector<catalog::Upstream>&, framework::SteadyTime now);
    /// The list was up to date as of this time.
    void didConfirm(framework::SteadyTime);
    /// Returns the service's version if the list is current and has been all the time since before `since`, and has
    /// shown this version alone.
    std::optional<catalog::SoftwareVersion> soleVersion(
        const framework::ServiceName&, framework::SteadyTime since, framework::SteadyTime now) const;

private:
    struct Service {
        /// std::nullopt if there are several versions, or one that isn't known.
        std::optional<catalog::SoftwareVersion> sole;
        framework::SteadyTime since {};
    };

    std::map<framework::ServiceName, Service> services_;
    std::optional<framework::SteadyTime> confirmedAt_;
};

} // namespace lagoon::forwarding
