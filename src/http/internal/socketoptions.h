#pragma once

#include "framework/types/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace lagoon::http {

/// Sets no-delay, and limits how long a peer that has become unreachable goes unnoticed: without these a connection to
/// a machine without power, or behind a partition, hangs for good. `unresponsiveTimeout` bounds both bytes that aren't
/// acknowledged and, by keep-alive probes, a connection on which nothing is sent.
void setLivenessOptions(boost::asio::ip::tcp::socket&, framework::Milliseconds unresponsiveTimeout);

} // namespace lagoon::http
