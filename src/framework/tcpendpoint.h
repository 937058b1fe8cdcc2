#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace lagoon::framework {

/// Parses `address:port` with a numeric address. `step` names the operation in errors.
Result<boost::asio::ip::tcp::endpoint> parseTcpEndpoint(const Endpoint&, const char* step);
Endpoint endpointOf(const boost::asio::ip::tcp::endpoint&);

} // namespace lagoon::framework
