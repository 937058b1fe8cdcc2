#include "http/connectionpool.h"

#include <algorithm>
#include <optional>

namespace lagoon::http {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// A connection whose server doesn't say how long it keeps it is used again only this soon: servers that keep theirs
/// for less than a second can't say so, as the field counts whole seconds.
constexpr Milliseconds keptWhenUnsaid { 400 };
/// Parts of the kept time after which a connection isn't used again: what travels takes time, and clocks differ.
constexpr double usualShare = 0.75;
constexpr double carefulShare = 0.4;

Milliseconds longestIdle(const ClientConnection& connection, ConnectionPool::Reuse reuse)
{
    const double share = reuse == ConnectionPool::Reuse::Careful ? carefulShare : usualShare;
    const double kept = static_cast<double>(connection.keptFor().value_or(keptWhenUnsaid).count());
    return Milliseconds(static_cast<std::int64_t>(kept * share));
}

} // namespace

class ConnectionPool::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(
        boost::asio::io_context& context, framework::Endpoint endpoint, const ClientOptions& options, std::size_t most)
        : context_(context)
        , endpoint_(std::move(endpoint))
        , options_(options)
        , most_(most)
    {
    }

    std::shared_ptr<ClientConnection> take(Reuse reuse, SteadyTime now)
    {
        closeStale(now);
        // The one used last has the most time left.
        if (reuse != Reuse::Never && !idle_.empty()
            && now - idle_.back()->idleSince() <= longestIdle(*idle_.back(), reuse)) {
            auto connection = idle_.back();
            idle_.pop_back();
            return connection;
        }
        if (open_ >= most_ && !idle_.empty()) {
            const auto oldest = idle_.front();
            oldest->abandon();
        }
        return open_ < most_ ? add() : nullptr;
    }

    void setMost(std::size_t most) { most_ = most; }
    std::size_t open() const { return open_; }

    void closeStale(SteadyTime now)
    {
        const auto idle = idle_;
        for (const auto& connection : idle) {
            if (now - connection->idleSince() > longestIdle(*connection, Reuse::Usual))
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
    std::size_t most_;
    std::size_t open_ = 0;
    std::vector<std::shared_ptr<ClientConnection>> idle_;
};

ConnectionPool::ConnectionPool(boost::asio::io_context& context, const framework::Endpoint& endpoint,
    const ClientOptions& options, std::size_t most)
    : implementation_(std::make_shared<Implementation>(context, endpoint, options, most))
{
}

ConnectionPool::~ConnectionPool() { closeIdle(); }

std::shared_ptr<ClientConnection> ConnectionPool::take(Reuse reuse, SteadyTime now)
{
    return implementation_->take(reuse, now);
}

void ConnectionPool::setMost(std::size_t most) { implementation_->setMost(most); }

std::size_t ConnectionPool::open() const { return implementation_->open(); }

void ConnectionPool::closeStale(SteadyTime now) { implementation_->closeStale(now); }

void ConnectionPool::closeIdle() { implementation_->closeIdle(); }

} // namespace lagoon::http
