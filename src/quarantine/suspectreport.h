#pragma once

#include "framework/types/time.h"
#include "quarantine/requestquarantine.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What operators see of the quarantine, at `GET /quarantine` of a router's ops endpoint, and how they release a
/// request, by `DELETE /quarantine/FINGERPRINT?operator=NAME`.
namespace lagoon::quarantine {

/// The path of the list of suspected requests.
inline constexpr std::string_view quarantinePath = "/quarantine";

/// Returns the suspected and quarantined requests as JSON.
std::string reportSuspects(const std::vector<SuspectSummary>&, framework::SteadyTime now);

/// An operator's order to release a request.
struct ReleaseOrder {
    RequestFingerprint request;
    std::string operatorName;
};

std::string releaseTarget(const ReleaseOrder&);
/// Parses the path and query of a `DELETE`; std::nullopt if they name no request or no operator.
std::optional<ReleaseOrder> parseRelease(std::string_view target);

} // namespace lagoon::quarantine
