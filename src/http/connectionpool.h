#pragma once

#include "http/clientconnection.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace lagoon::http {

/// The connections of one process to one server. Used on one event thread.
class ConnectionPool {
public:
    ConnectionPool(
        boost::asio::io_context&, const framework::Endpoint&, const ClientOptions&, std::size_t maxConnections);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /// Determines how long a connection may have been idle to be reused.
    enum class Reuse : std::uint8_t {
        Normal, ///< well within the server's keep-alive timeout
        Conservative, ///< for requests that must not run twice, whose outcome is unknown if the server closes just then
        Never,
    };

    /// Returns an idle connection that isn't among `excluded` or a new one, or null if the maximum number of
    /// connections is in use.
    std::shared_ptr<ClientConnection> take(
        Reuse, framework::SteadyTime now, const std::vector<std::weak_ptr<ClientConnection>>& excluded = {});
    void setMaxConnections(std::size_t maxConnections);
    std::size_t open() const;
    /// Closes idle connections that are too old to be reused.
    void closeStale(framework::SteadyTime now);
    /// Closes all idle connections. Busy ones are not affected.
    void closeIdle();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::http
