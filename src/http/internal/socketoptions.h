#pragma once

#include "framework/types/time.h"

#include <boost/asio/ip/tcp.hpp>

namespace lagoon::http {

/// Sets TCP_NODELAY, and limits the time until an unreachable peer is detected: otherwise a connection to a machine
/// that lost power or is behind a network partition would hang forever. `unresponsiveTimeout` limits both how long sent
/// bytes may stay unacknowledged and, by keep-alive probes, how long an idle connection's peer may not respond.
void setLivenessOptions(boost::asio::ip::tcp::socket&, framework::Milliseconds unresponsiveTimeout);

/// Limits what the kernel holds of answers that callers don't read, which counts as memory of the machine. Applies to
/// the connections that are accepted.
void limitSendBuffers(boost::asio::ip::tcp::acceptor&);

/// How much the kernel holds, at least and at most, of what a caller sends before it is read. It counts as memory too.
constexpr std::size_t minReceiveBuffer = 16 * 1024;
constexpr std::size_t maxReceiveBuffer = 128 * 1024;

/// The sizes are those of the payload.
void setReceiveBuffer(boost::asio::ip::tcp::acceptor&, std::size_t bytes);
void setReceiveBuffer(boost::asio::ip::tcp::socket&, std::size_t bytes);

} // namespace lagoon::http
