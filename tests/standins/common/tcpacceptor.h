#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <boost/asio/ip/tcp.hpp>

namespace lagoon::standins {

/// Parses `address:port`.
framework::Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const framework::Endpoint&);
/// Makes the acceptor listen on the endpoint (port 0: any free port) and returns the endpoint in use.
framework::Result<framework::Endpoint> listenOn(boost::asio::ip::tcp::acceptor&, const framework::Endpoint&);

} // namespace lagoon::standins
