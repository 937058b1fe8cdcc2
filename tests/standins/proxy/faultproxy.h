#pragma once

#include "framework/types/ids.h"
#include "standins/common/standinprogram.h"
#include "standins/proxy/proxiedconnection.h"

#include <boost/asio/io_context.hpp>
#include <mutex>
#include <vector>

namespace lagoon::standins {

/// A TCP proxy between two processes that injects network faults:
/// - `delay_ms` `{"to_server", "to_client"}`: bytes in this direction are delayed by this time
/// - `cut`: true closes all existing connections
/// - `silent`: `to_server`, `to_client` or `both`: existing connections are black-holed in this direction: all further
///   bytes and the end of the connection are discarded; new connections work
/// - `hold`: `to_server`, `to_client` or `both`: existing connections hold back all further bytes and the end of the
///   connection in this direction until `release`: true
/// - `swap` `{"to_server", "to_client"}`: the next chunks, up to this number, are each swapped with the following chunk
/// - `lose_answer` `{"count", "after_bytes"}`: `count` connections are closed when the server sends, once
///   `after_bytes` of its bytes have been delivered
/// - `refuse`: whether new connections are closed at once
/// - `to`: the address to which new connections are forwarded
class FaultProxy final : public IStandin {
public:
    FaultProxy(framework::Endpoint to, Framing);

    /// Listens for connections to forward, and returns the endpoint in use.
    framework::Result<framework::Endpoint> start(const framework::Endpoint&);
    void answer(Exchange&) override;
    framework::Result<void> setFaults(const web::json::value&) override;
    web::json::value record() override;

private:
    void accept();
    void forwardConnection(Socket client);
    /// Calls the method on each connection's relays of this direction (`to_server`, `to_client` or `both`).
    void forEachRelay(const std::string& direction, void (StreamRelay::*action)());

    framework::Endpoint target_;
    const Framing framing_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_ { context_ };
    StreamFaults faults_;

    std::mutex mutex_;
    std::vector<std::shared_ptr<ProxiedConnection>> connections_;
    std::uint64_t accepted_ = 0;
    bool refusesConnections_ = false;
};

} // namespace lagoon::standins
