#pragma once

#include "bundle/types/bundle.h"
#include "callers/icaller.h"
#include "framework/types/error.h"
#include "http/types/message.h"

#include <string>

namespace lagoon::callers {

/// Options that a caller sets in its request's headers. The bundle provides defaults for absent ones.
struct RequestOptions {
    std::optional<framework::Milliseconds> timeout;
    std::optional<bool> isRepeatable;
    std::optional<std::uint8_t> priority;
    std::optional<std::string> idempotencyKey;
};

/// Reads `X-Lagoon-Timeout-Ms`, `X-Lagoon-Repeatable`, `X-Lagoon-Priority` and `Idempotency-Key`. An invalid value is
/// an error: a caller that means "not repeatable" must not be served with the default.
framework::Result<RequestOptions> readRequestOptions(const http::Headers&);

/// Returns false for headers that concern a single connection, and for those that each hop sets itself.
bool isEndToEndHeader(const std::string& name);
/// Returns the headers that are forwarded to the upstream.
HttpHeaders upstreamHeaders(const http::Headers&);

} // namespace lagoon::callers
