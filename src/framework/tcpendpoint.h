#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace lagoon::framework {

/// Parses `address:port` with a numeric address. `step` names the operation in errors.
Result<boost::asio::ip::tcp::endpoint> parseTcpEndpoint(const Endpoint&, const char* step);
/// The error of a server that can't listen. It has `retryAfter` if the cause may go away by itself, such as a port that
/// another process holds.
Error listenError(const char* step, const Endpoint&, const boost::system::error_code&);
Endpoint endpointOf(const boost::asio::ip::tcp::endpoint&);

} // namespace lagoon::framework
