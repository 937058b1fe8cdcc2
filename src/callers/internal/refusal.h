#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <cpprest/http_msg.h>
#include <cstdint>
#include <optional>

/// Refusals as callers see them. Include in .cpp files only.
namespace lagoon::callers {

/// The HTTP status that fits an error; `UnknownModel` is 404 and so on.
unsigned short statusOf(framework::ErrorCode);

/// The whole refusal: status, JSON body and `Retry-After` in whole seconds, rounded up. An attempt of 0 says that
/// nothing was dispatched.
web::http::http_response refusalResponse(const framework::Error&, const framework::RequestName&, std::uint32_t attempt,
    std::optional<unsigned short> status);

} // namespace lagoon::callers
