#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <boost/asio/ip/tcp.hpp>

namespace lagoon::standins {

/// The endpoint of `address:port`, or why it isn't one.
framework::Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const framework::Endpoint&);
/// Opens the acceptor on the endpoint (port 0: any free one) and returns the one in use.
framework::Result<framework::Endpoint> listenOn(boost::asio::ip::tcp::acceptor&, const framework::Endpoint&);

} // namespace lagoon::standins
