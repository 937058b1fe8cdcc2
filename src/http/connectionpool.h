#pragma once

#include "http/clientconnection.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace lagoon::http {

/// The connections of one process to one server. Belongs to one event thread.
class ConnectionPool {
public:
    ConnectionPool(
        boost::asio::io_context&, const framework::Endpoint&, const ClientOptions&, std::size_t maxConnections);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /// How long a connection may have been idle to be used again.
    enum class Reuse : std::uint8_t {
        Normal, ///< well within what the server keeps it for
        Conservative, ///< for what must not run twice: a server that closes just then would leave it unknown
        Never,
    };

    /// An idle connection or a new one; nothing when as many are open as may be.
    std::shared_ptr<ClientConnection> take(Reuse, framework::SteadyTime now);
    void setMaxConnections(std::size_t maxConnections);
    std::size_t open() const;
    /// Closes the idle ones that won't be used again.
    void closeStale(framework::SteadyTime now);
    /// Closes the idle ones; those at work end by themselves.
    void closeIdle();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::http
