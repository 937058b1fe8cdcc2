#pragma once

#include "standins/proxy/streamrelay.h"

#include <atomic>
#include <memory>

namespace lagoon::standins {

/// The connection of a client and the corresponding connection to the server.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection> {
public:
    ProxiedConnection(
        std::shared_ptr<Socket> client, std::shared_ptr<Socket> server, Framing framing, StreamFaults& faults);

    /// Starts the threads that relay bytes. They keep this object alive.
    void start();
    /// Closes both sides.
    void cut();
    StreamRelay& relay(Direction direction) { return direction == Direction::ToServer ? toServer_ : toClient_; }
    /// Whether both directions have ended or the connection was cut.
    bool isFinished() const { return isCut_ || endedRelays_ == 2; }

private:
    void startRelay(StreamRelay&);

    std::shared_ptr<Socket> client_;
    std::shared_ptr<Socket> server_;
    StreamRelay toServer_;
    StreamRelay toClient_;
    std::atomic<bool> isCut_ = false;
    std::atomic<int> endedRelays_ = 0;
};

} // namespace lagoon::standins
