#pragma once

#include "framework/types/error.h"
#include "http/types/message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoon::callers {

/// The kind of a request, determined by its path.
enum class RequestKind : std::uint8_t { Completion, ChatCompletion, Service, Models, Other };

inline constexpr const char* servicesPrefix = "/services/";

/// Returns the path and the query of a request's target, which may name a host too.
std::string resourceOf(const http::Request&);
RequestKind kindOf(const std::string& resource);
/// The label value for metrics.
std::string kindText(RequestKind);

/// A refusal that is decided by the request's head.
struct HeadRefusal {
    framework::Error error;
    /// Replaces the default HTTP status of the error code.
    std::optional<unsigned> status = std::nullopt;
};

/// Validates the request's head, except for the options in its headers. Returns std::nullopt if it is valid.
std::optional<HeadRefusal> checkHead(const http::Request&, RequestKind);

} // namespace lagoon::callers
