#pragma once

#include "callers/types/callerlimits.h"
#include "framework/types/error.h"

#include <cpprest/http_msg.h>
#include <cstdint>
#include <optional>
#include <string>

/// Include in .cpp files only.
namespace lagoon::callers {

/// The kind of a request, determined by its path.
enum class RequestKind : std::uint8_t { Completion, ChatCompletion, Service, Models, Other };

inline constexpr const char* servicesPrefix = "/services/";

RequestKind kindOf(const web::http::http_request&);
/// The label value for metrics.
std::string kindText(RequestKind);

/// A refusal that is decided before the body is read.
struct EarlyRefusal {
    framework::Error error;
    /// Replaces the default HTTP status of the error code.
    std::optional<unsigned short> status = std::nullopt;
    /// Whether the connection is closed because the bytes that follow cannot be interpreted reliably or need not be
    /// read.
    bool endsConnection = false;
};

/// Validates the request's head, except for the options in its headers. Returns std::nullopt if it is valid.
std::optional<EarlyRefusal> checkHead(const web::http::http_request&, RequestKind, const CallerLimits&);

} // namespace lagoon::callers
