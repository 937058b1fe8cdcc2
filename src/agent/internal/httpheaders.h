#pragma once

#include "agent/iupstream.h"

namespace lagoon::agent {

/// The headers that go on to the other side: without those that belong to one connection (RFC 9110, 7.6.1), `Host`
/// and `Content-Length`, which each connection has anew.
HttpHeaders endToEndHeaders(const HttpHeaders&);

} // namespace lagoon::agent
