#include "standins/proxy/proxiedconnection.h"

#include <thread>

namespace lagoon::standins {

ProxiedConnection::ProxiedConnection(
    std::shared_ptr<Socket> client, std::shared_ptr<Socket> server, Framing framing, StreamFaults& faults)
    : client_(std::move(client))
    , server_(std::move(server))
    , toServer_(Direction::ToServer, client_, server_, framing, faults, [this] { cut(); })
    , toClient_(Direction::ToClient, server_, client_, framing, faults, [this] { cut(); })
{
}

void ProxiedConnection::start()
{
    startRelay(toServer_);
    startRelay(toClient_);
}

void ProxiedConnection::startRelay(StreamRelay& relay)
{
    std::thread([self = shared_from_this(), &relay] { relay.receive(); }).detach();
    std::thread([self = shared_from_this(), &relay] {
        relay.deliver();
        ++self->endedRelays_;
    }).detach();
}

void ProxiedConnection::cut()
{
    isCut_ = true;
    toServer_.stop();
    toClient_.stop();
    boost::system::error_code ignored;
    client_->shutdown(Socket::shutdown_both, ignored);
    server_->shutdown(Socket::shutdown_both, ignored);
}

} // namespace lagoon::standins
