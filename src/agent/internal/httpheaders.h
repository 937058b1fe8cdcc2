#pragma once

#include "agent/iupstream.h"

namespace lagoon::agent {

/// Returns the headers to forward: without hop-by-hop headers (RFC 9110, 7.6.1), and without `Host` and
/// `Content-Length`, which are set for each connection separately.
HttpHeaders endToEndHeaders(const HttpHeaders&);

} // namespace lagoon::agent
