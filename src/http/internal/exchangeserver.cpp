#include "http/exchangeserver.h"

#include "framework/eventloop.h"
#include "framework/logging.h"
#include "framework/tcpendpoint.h"
#include "http/internal/callerconnection.h"
#include "http/internal/slowcallers.h"
#include "http/internal/socketoptions.h"

#include <boost/asio/post.hpp>
#include <limits>
#include <optional>
#include <poll.h>
#include <utility>

namespace lagoon::http {

namespace {

using boost::asio::ip::tcp;
using framework::Endpoint;
using framework::Milliseconds;

/// Delay after accepting has failed, usually because file descriptors are exhausted: some connections will have been
/// closed by then.
constexpr Milliseconds acceptRetryDelay { 50 };
constexpr Milliseconds answerCheckInterval { 5000 };
/// Above the maximum number of connections, for those that have been told to make room and haven't ended yet.
constexpr std::size_t maxLeavingAbove = 8;

} // namespace

class ExchangeServer::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(framework::EventThread& thread, IExchangeHandler& handler)
        : context_(thread.context())
        , acceptor_(context_)
        , acceptTimer_(context_)
        , answerTimer_(context_)
        , shared_(std::make_shared<ConnectionContext>(handler))
    {
    }

    framework::Result<Endpoint> listen(const Endpoint& endpoint)
    {
        shared_->refuseSlowerBody = [weak = weak_from_this()](const CallerConnection& connection) {
            const auto self = weak.lock();
            return self && self->refuseSlowerBody(connection);
        };
        BOOST_OUTCOME_TRY(address, framework::parseTcpEndpoint(endpoint, "listen for callers"));
        boost::system::error_code error;
        acceptor_.open(address.protocol(), error);
        if (!error)
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor_.bind(address, error);
        limitSendBuffers(acceptor_);
        setReceiveBuffer(acceptor_, minReceiveBuffer);
        if (!error)
            acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
        if (error) {
            boost::system::error_code ignored;
            acceptor_.close(ignored);
            return framework::listenError("listen for callers", endpoint, error);
        }
        const Endpoint bound = framework::endpointOf(acceptor_.local_endpoint());
        boost::asio::post(context_, [self = shared_from_this()] {
            self->accept();
            self->checkAnswersLater();
        });
        return bound;
    }

    void setLimits(const ExchangeLimits& limits) { shared_->limits = limits; }
    void setBudget(std::shared_ptr<ByteBudget> budget, const ResponseHead& refusal)
    {
        shared_->budget = std::move(budget);
        shared_->budgetRefusal = refusal;
    }
    void setRefusalHandler(std::function<void(const UnreadRefusal&)> handler)
    {
        shared_->didRefuse = std::move(handler);
    }
    void setRefusalWriter(IRefusalWriter& writer) { shared_->refusalWriter = &writer; }
    std::size_t connectionsWithUnsentAnswers() const
    {
        std::size_t count = 0;
        for (const auto& [key, connection] : connections_)
            count += connection->unsentBytes() > 0 ? 1 : 0;
        return count;
    }
    void setDropHandler(std::function<void(const DroppedAnswers&)> handler)
    {
        shared_->didDropAnswers = std::move(handler);
    }
    void reclaimUnreadAnswers(ByteBudget& budget)
    {
        budget.setReclaimer([weak = weak_from_this()] {
            const auto self = weak.lock();
            return self && self->dropSlowestAnswers();
        });
    }
    void setMaxConnections(std::size_t connections) { maxConnections_ = connections; }
    void beginDraining() { shared_->isDraining = true; }

    void stopAccepting()
    {
        acceptPending();
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    }

    void closeIdle()
    {
        stopAccepting();
        shared_->closesIdle = true;
        const auto connections = connections_;
        for (const auto& [key, connection] : connections)
            connection->closeWhenIdle();
    }

    void refuseIncomplete(const ResponseHead& head)
    {
        const auto connections = connections_;
        for (const auto& [key, connection] : connections)
            connection->refuseIncomplete(head, "not whole when the server stopped reading");
    }

    void closeAll()
    {
        closeIdle();
        const auto connections = connections_;
        for (const auto& [key, connection] : connections)
            connection->closeNow();
    }

    std::size_t busyConnections() const
    {
        std::size_t busy = 0;
        for (const auto& [key, connection] : connections_)
            busy += connection->isBusy() ? 1 : 0;
        return busy;
    }

    std::size_t connections() const { return connections_.size(); }

private:
    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](const boost::system::error_code& error, tcp::socket socket) {
            if (!error)
                self->addGuarded(std::move(socket));
            if (!self->acceptor_.is_open())
                return;
            if (error)
                return self->didFailToAccept(error);
            self->hasAcceptFailed_ = false;
            self->accept();
        });
    }

    /// Logs only the first failure in succession. Without a free descriptor accepting also fails if nobody connects.
    void didFailToAccept(const boost::system::error_code& error)
    {
        if (isConnectionPending()) {
            if (!std::exchange(hasAcceptFailed_, true))
                framework::logWarning("http", "accept: " + error.message());
            makeRoom();
        }
        acceptLater();
    }

    bool isConnectionPending()
    {
        pollfd listening { acceptor_.native_handle(), POLLIN, 0 };
        return ::poll(&listening, 1, 0) > 0;
    }

    /// Frees a descriptor unless all are needed, so that callers that don't use their connections can't shut out those
    /// that do.
    void makeRoom()
    {
        if (const auto connection = leastNeeded(connections_, std::chrono::steady_clock::now()))
            connection->makeRoom();
    }

    bool dropSlowestAnswers()
    {
        const auto slowest = slowestReader(connections_, std::chrono::steady_clock::now());
        if (slowest)
            slowest->dropUnreadAnswers("memory needed for others");
        return slowest != nullptr;
    }

    bool refuseSlowerBody(const CallerConnection& connection)
    {
        const auto slowest = slowestBody(connections_, connection, std::chrono::steady_clock::now());
        if (slowest)
            slowest->refuseIncomplete(shared_->budgetRefusal, "memory needed for faster bodies");
        return slowest != nullptr;
    }

    /// Accepts all connections in the listening socket's queue. If the event loop is behind, closing that socket would
    /// otherwise reset connections whose callers sent requests while the server still accepted them.
    void acceptPending()
    {
        if (!acceptor_.is_open())
            return;
        boost::system::error_code error;
        acceptor_.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(context_);
            acceptor_.accept(socket, error);
            if (!error)
                addGuarded(std::move(socket));
        }
    }

    void acceptLater()
    {
        acceptTimer_.expires_after(acceptRetryDelay);
        acceptTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && self->acceptor_.is_open())
                self->accept();
        });
    }

    /// Checks all connections at once, since a timer for each answer would cost each request.
    void checkAnswersLater()
    {
        answerTimer_.expires_after(answerCheckInterval);
        answerTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            const auto connections = self->connections_;
            for (const auto& [key, connection] : connections)
                connection->checkAnswerProgress(std::chrono::steady_clock::now());
            self->checkAnswersLater();
        });
    }

    /// Prevents a connection for which there is no memory from ending the accepting of others.
    void addGuarded(tcp::socket socket)
    {
        try {
            add(std::move(socket));
        } catch (...) {
            framework::reportException("an accepted connection");
        }
    }

    void add(tcp::socket socket)
    {
        auto onClosed = [weak = weak_from_this()](CallerConnection* closed) {
            if (const auto self = weak.lock())
                self->connections_.erase(closed);
        };
        auto connection = std::make_shared<CallerConnection>(std::move(socket), shared_, std::move(onClosed));
        connections_.emplace(connection.get(), connection);
        connection->start();
        // Its accept completed just before the acceptor was closed.
        if (shared_->closesIdle)
            connection->closeWhenIdle();
        if (connections_.size() <= maxConnections_)
            return;
        // The room may be there only later: an idle connection first looks for a request, a refused one lingers.
        makeRoom();
        if (connections_.size() > maxConnections_ + maxLeavingAbove)
            connection->closeNow();
    }

    boost::asio::io_context& context_;
    tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    boost::asio::steady_timer answerTimer_;
    bool hasAcceptFailed_ = false;
    std::size_t maxConnections_ = std::numeric_limits<std::size_t>::max();
    std::shared_ptr<ConnectionContext> shared_;
    Connections connections_;
};

ExchangeServer::ExchangeServer(framework::EventThread& thread, IExchangeHandler& handler)
    : implementation_(std::make_shared<Implementation>(thread, handler))
{
}

ExchangeServer::~ExchangeServer() = default;

framework::Result<Endpoint> ExchangeServer::listen(const Endpoint& endpoint)
{
    return implementation_->listen(endpoint);
}

void ExchangeServer::setLimits(const ExchangeLimits& limits) { implementation_->setLimits(limits); }

void ExchangeServer::setBudget(std::shared_ptr<ByteBudget> budget, const ResponseHead& refusal)
{
    implementation_->setBudget(std::move(budget), refusal);
}

void ExchangeServer::setRefusalHandler(std::function<void(const UnreadRefusal&)> handler)
{
    implementation_->setRefusalHandler(std::move(handler));
}

void ExchangeServer::setRefusalWriter(IRefusalWriter& writer) { implementation_->setRefusalWriter(writer); }

std::size_t ExchangeServer::connectionsWithUnsentAnswers() const
{
    return implementation_->connectionsWithUnsentAnswers();
}

void ExchangeServer::setDropHandler(std::function<void(const DroppedAnswers&)> handler)
{
    implementation_->setDropHandler(std::move(handler));
}

void ExchangeServer::reclaimUnreadAnswers(ByteBudget& budget) { implementation_->reclaimUnreadAnswers(budget); }

void ExchangeServer::setMaxConnections(std::size_t connections) { implementation_->setMaxConnections(connections); }

void ExchangeServer::beginDraining() { implementation_->beginDraining(); }

void ExchangeServer::stopAccepting() { implementation_->stopAccepting(); }

void ExchangeServer::closeIdle() { implementation_->closeIdle(); }

void ExchangeServer::refuseIncomplete(const ResponseHead& head) { implementation_->refuseIncomplete(head); }

void ExchangeServer::closeAll() { implementation_->closeAll(); }

std::size_t ExchangeServer::busyConnections() const { return implementation_->busyConnections(); }

std::size_t ExchangeServer::connections() const { return implementation_->connections(); }

} // namespace lagoon::http
