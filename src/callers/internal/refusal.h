#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "http/types/message.h"

#include <cstdint>
#include <optional>

/// HTTP responses for refused requests.
namespace lagoon::callers {

inline constexpr const char* requestHeader = "X-Lagoon-Request";
inline constexpr const char* attemptHeader = "X-Lagoon-Attempt";

/// Maps an error code to its HTTP status, for example `UnknownModel` to 404.
unsigned statusOf(framework::ErrorCode);

/// Builds the complete refusal: status, JSON body, and `Retry-After` in whole seconds, rounded up. An attempt of 0
/// means that the request was not dispatched. `status` replaces the default status of the error.
http::Response refusalResponse(
    const framework::Error&, const framework::RequestName&, std::uint32_t attempt, std::optional<unsigned> status);

} // namespace lagoon::callers
