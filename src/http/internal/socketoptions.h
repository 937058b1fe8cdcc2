#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace lagoon::http {

/// `address:port` with a numeric address; the error names the step.
framework::Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const framework::Endpoint&, const char* step);

/// Sets no-delay, and limits how long a peer that has become unreachable goes unnoticed: without these a connection to
/// a machine without power, or behind a partition, hangs for good. `silence` bounds both bytes that aren't
/// acknowledged and, by keep-alive probes, a connection on which nothing is sent.
void setLivenessOptions(boost::asio::ip::tcp::socket&, framework::Milliseconds silence);

} // namespace lagoon::http
