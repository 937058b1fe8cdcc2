#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace lagoon::framework {

/// Reads `address:port` with a numeric address; the error names the step.
Result<boost::asio::ip::tcp::endpoint> parseTcpEndpoint(const Endpoint&, const char* step);
Endpoint endpointOf(const boost::asio::ip::tcp::endpoint&);

} // namespace lagoon::framework
