#pragma once

#include "framework/types/ids.h"
#include "standins/common/standinprogram.h"
#include "standins/proxy/proxiedconnection.h"

#include <boost/asio/io_context.hpp>
#include <mutex>
#include <vector>

namespace lagoon::standins {

/// A TCP proxy between two processes, which makes the failures of networks. Faults:
/// - `delay_ms` `{"to_server", "to_client"}`: bytes come so much later
/// - `cut`: true closes all present connections
/// - `silent`: `to_server`, `to_client` or `both`: present connections carry nothing any more in that direction, not
///   even their end; new connections work
/// - `hold`: the same directions: present connections' bytes are kept, also their end, until `release`: true
/// - `swap` `{"to_server", "to_client"}`: so many pieces change places with their next
/// - `lose_answer` `{"count", "after_bytes"}`: so many connections are closed when the server's bytes come, past the
///   given number
/// - `refuse`: whether new connections are closed at once
/// - `to`: where new connections are carried to
class FaultProxy final : public IStandin {
public:
    FaultProxy(framework::Endpoint to, Framing);

    /// Listens for the connections to carry, and returns the endpoint in use.
    framework::Result<framework::Endpoint> start(const framework::Endpoint&);
    void answer(Exchange&) override;
    framework::Result<void> setFaults(const web::json::value&) override;
    web::json::value record() override;

private:
    void accept();
    void forwardConnection(Socket client);
    /// For each open connection, the relays of this direction (`to_server`, `to_client` or `both`).
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
