#pragma once

#include "callers/types/callerlimits.h"
#include "framework/types/error.h"

#include <cpprest/http_msg.h>
#include <cstdint>
#include <optional>
#include <string>

/// Include in .cpp files only.
namespace lagoon::callers {

/// What a request asks for, by its path.
enum class RequestKind : std::uint8_t { Completion, ChatCompletion, Service, Models, Other };

inline constexpr const char* servicesPrefix = "/services/";

RequestKind kindOf(const web::http::http_request&);
/// For counters.
std::string kindText(RequestKind);

/// A refusal that is known before the body.
struct EarlyRefusal {
    framework::Error error;
    /// In place of the error code's own.
    std::optional<unsigned short> status = std::nullopt;
    /// What follows on this connection can't be trusted or isn't worth reading.
    bool endsConnection = false;
};

/// Checks all that can be known of a request before its body, but for the caller's statements.
std::optional<EarlyRefusal> checkHead(const web::http::http_request&, RequestKind, const CallerLimits&);

} // namespace lagoon::callers
