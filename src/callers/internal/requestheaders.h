#pragma once

#include "bundle/types/bundle.h"
#include "callers/icaller.h"
#include "framework/types/error.h"

#include <cpprest/http_headers.h>
#include <string>

/// Include in .cpp files only.
namespace lagoon::callers {

/// What a caller states about its request; absent ones come from the bundle.
struct RequestOptions {
    std::optional<framework::Milliseconds> timeout;
    std::optional<bool> isRepeatable;
    std::optional<std::uint8_t> priority;
    std::optional<std::string> idempotencyKey;
};

/// Reads `X-Lagoon-Timeout-Ms`, `X-Lagoon-Repeatable`, `X-Lagoon-Priority` and `Idempotency-Key`. A value that can't be
/// read is refused: a caller that means "not repeatable" must not be served as if it had said nothing.
framework::Result<RequestOptions> readRequestOptions(const web::http::http_headers&);

/// False for what concerns one connection only, and for what each side sets itself.
bool isEndToEndHeader(const std::string& name);
/// The headers that go on to the upstream.
HttpHeaders upstreamHeaders(const web::http::http_headers&);
/// Bytes of all names and values.
std::size_t headerBytes(const web::http::http_headers&);

} // namespace lagoon::callers
