#include "http/connectionpool.h"

#include <algorithm>
#include <optional>

namespace lagoon::http {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// Used if the server does not state its keep-alive timeout. The header field counts whole seconds, so servers with a
/// timeout below one second cannot state it.
constexpr Milliseconds defaultKeepAliveTimeout { 400 };
/// Fractions of the keep-alive timeout after which a connection is not reused, since messages take time in transit and
/// clocks differ.
constexpr double normalIdleShare = 0.75;
constexpr double conservativeIdleShare = 0.4;

using Connections = std::vector<std::weak_ptr<ClientConnection>>;

bool contains(const Connections& connections, const std::shared_ptr<ClientConnection>& connection)
{
    return std::any_of(
        connections.begin(), connections.end(), [&](const auto& other) { return other.lock() == connection; });
}

Milliseconds maxIdleTime(const ClientConnection& connection, ConnectionPool::Reuse reuse)
{
    const double share = reuse == ConnectionPool::Reuse::Conservative ? conservativeIdleShare : normalIdleShare;
    const double keepAlive
        = static_cast<double>(connection.keepAliveTimeout().value_or(defaultKeepAliveTimeout).count());
    return Milliseconds(static_cast<std::int64_t>(keepAlive * share));
}

} // namespace

class ConnectionPool::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(boost::asio::io_context& context, framework::Endpoint endpoint, const ClientOptions& options,
        std::size_t maxConnections)
        : context_(context)
        , endpoint_(std::move(endpoint))
        , options_(options)
        , maxConnections_(maxConnections)
    {
    }

    std::shared_ptr<ClientConnection> take(Reuse reuse, SteadyTime now, const Connections& excluded)
    {
        closeStale(now);
        if (auto connection = reuse == Reuse::Never ? nullptr : takeIdle(reuse, now, excluded))
            return connection;
        if (open_ >= maxConnections_ && !idle_.empty()) {
            const auto oldest = idle_.front();
            oldest->abandon();
        }
        return open_ < maxConnections_ ? add() : nullptr;
    }

    void setMaxConnections(std::size_t maxConnections) { maxConnections_ = maxConnections; }
    std::size_t open() const { return open_; }

    void closeStale(SteadyTime now)
    {
        const auto idle = idle_;
        for (const auto& connection : idle) {
            if (now - connection->idleSince() > maxIdleTime(*connection, Reuse::Normal))
                connection->abandon();
        }
    }

    void closeIdle()
    {
        const auto idle = idle_;
        for (const auto& connection : idle)
            connection->abandon();
    }

private:
    /// Returns the most recently used connection that can be reused, since it has the most time left.
    std::shared_ptr<ClientConnection> takeIdle(Reuse reuse, SteadyTime now, const Connections& excluded)
    {
        for (std::size_t index = idle_.size(); index-- > 0;) {
            auto connection = idle_[index];
            if (now - connection->idleSince() > maxIdleTime(*connection, reuse))
                return nullptr;
            if (contains(excluded, connection))
                continue;
            if (connection->isStale()) {
                connection->abandon();
                continue;
            }
            std::erase(idle_, connection);
            return connection;
        }
        return nullptr;
    }

    std::shared_ptr<ClientConnection> add()
    {
        ClientConnection::Observers observers;
        observers.didBecomeIdle = [weak = weak_from_this()](const std::shared_ptr<ClientConnection>& connection) {
            if (const auto self = weak.lock())
                self->idle_.push_back(connection);
            else
                connection->abandon();
        };
        observers.didClose = [weak = weak_from_this()](const std::shared_ptr<ClientConnection>& connection) {
            const auto self = weak.lock();
            if (!self)
                return;
            --self->open_;
            std::erase(self->idle_, connection);
        };
        ++open_;
        return ClientConnection::make(context_, endpoint_, options_, std::move(observers));
    }

    boost::asio::io_context& context_;
    framework::Endpoint endpoint_;
    ClientOptions options_;
    std::size_t maxConnections_;
    std::size_t open_ = 0;
    std::vector<std::shared_ptr<ClientConnection>> idle_;
};

ConnectionPool::ConnectionPool(boost::asio::io_context& context, const framework::Endpoint& endpoint,
    const ClientOptions& options, std::size_t maxConnections)
    : implementation_(std::make_shared<Implementation>(context, endpoint, options, maxConnections))
{
}

ConnectionPool::~ConnectionPool() { closeIdle(); }

std::shared_ptr<ClientConnection> ConnectionPool::take(
    Reuse reuse, SteadyTime now, const std::vector<std::weak_ptr<ClientConnection>>& excluded)
{
    return implementation_->take(reuse, now, excluded);
}

void ConnectionPool::setMaxConnections(std::size_t maxConnections)
{
    implementation_->setMaxConnections(maxConnections);
}

std::size_t ConnectionPool::open() const { return implementation_->open(); }

void ConnectionPool::closeStale(SteadyTime now) { implementation_->closeStale(now); }

void ConnectionPool::closeIdle() { implementation_->closeIdle(); }

} // namespace lagoon::http
