#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <cpprest/http_msg.h>
#include <cstdint>
#include <optional>

/// HTTP responses for refused requests. Include in .cpp files only.
namespace lagoon::callers {

/// Maps an error code to its HTTP status, for example `UnknownModel` to 404.
unsigned short statusOf(framework::ErrorCode);

/// Builds the complete refusal: status, JSON body, and `Retry-After` in whole seconds, rounded up. An attempt of 0
/// means that the request was not dispatched. `status` replaces the default status of the error.
web::http::http_response refusalResponse(const framework::Error&, const framework::RequestName&, std::uint32_t attempt,
    std::optional<unsigned short> status);

} // namespace lagoon::callers
