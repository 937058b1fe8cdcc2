#include "framework/descriptors.h"
#include "framework/eventloop.h"
#include "framework/logging.h"
#include "framework/tcpendpoint.h"
#include "wire/internal/tcplink.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <thread>
#include <utility>

namespace lagoon::wire {

namespace {

using boost::asio::ip::tcp;
using framework::Endpoint;

/// Delay after accepting has failed, usually because file descriptors are exhausted: retrying at once would keep a
/// thread busy.
constexpr framework::Milliseconds acceptRetryDelay { 50 };
constexpr framework::Milliseconds stallCheckInterval { 5000 };

class TcpLinkTransport final : public ILinkTransport {
public:
    TcpLinkTransport(const LinkSettings& settings, std::shared_ptr<framework::Metrics> metrics)
        : settings_(settings)
        , metrics_(std::move(metrics))
        , table_(std::make_shared<LinkTable>(
              LinkTable::Limits { std::min(settings.maxLinks, framework::maxDescriptors() / 2),
                  settings.maxUnfinishedBytes, settings.maxQueuedBytes, settings.frameProgressTimeout }))
        , work_(boost::asio::make_work_guard(context_))
    {
        closeStalledLater();
        for (std::size_t index = 0; index < settings_.threads; ++index)
            threads_.emplace_back([this] { framework::runEventLoop(context_); });
    }

    ~TcpLinkTransport() override { stop(); }

    std::shared_ptr<ILink> connect(const Endpoint& endpoint, LinkHandlers handlers) override
    {
        auto link = std::make_shared<TcpLink>(newStrand(), endpoint, settings_, std::move(handlers), metrics_, table_);
        if (!table_->add(link, std::chrono::steady_clock::now())) {
            link->failFor("too many links");
            return link;
        }
        auto address = framework::parseTcpEndpoint(endpoint, "parse endpoint");
        if (address.has_error())
            link->failLater(address.error());
        else
            boost::asio::post(
                link->socket().get_executor(), [link, to = address.value()] { link->startConnecting(to); });
        return link;
    }

    framework::Result<Endpoint> listen(const Endpoint& endpoint, LinkHandlers handlers) override
    {
        BOOST_OUTCOME_TRY(address, framework::parseTcpEndpoint(endpoint, "parse endpoint"));
        boost::system::error_code error;
        acceptor_.emplace(context_);
        acceptor_->open(address.protocol(), error);
        if (!error)
            acceptor_->set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor_->bind(address, error);
        if (!error)
            acceptor_->listen(boost::asio::socket_base::max_listen_connections, error);
        if (error) {
            acceptor_.reset();
            return framework::listenError("listen", endpoint, error);
        }
        handlers_ = std::move(handlers);
        const Endpoint bound = framework::endpointOf(acceptor_->local_endpoint());
        accept();
        return bound;
    }

    void stopListening() override
    {
        boost::asio::post(context_, [this] {
            boost::system::error_code ignored;
            if (acceptor_)
                acceptor_->close(ignored);
        });
    }

    void stop() override
    {
        context_.stop();
        for (std::thread& thread : threads_) {
            if (thread.joinable())
                thread.join();
        }
    }

private:
    TcpLink::Strand newStrand() { return TcpLink::Strand(context_.get_executor()); }

    void accept()
    {
        auto strand = newStrand();
        acceptor_->async_accept(strand, [this, strand](const boost::system::error_code& error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !acceptor_->is_open())
                return;
            if (error)
                return didFailToAccept(error);
            hasAcceptFailed_ = false;
            addGuarded(strand, std::move(socket));
            accept();
        });
    }

    void closeStalledLater()
    {
        stallTimer_.expires_after(stallCheckInterval);
        stallTimer_.async_wait([this](const boost::system::error_code& error) {
            if (error)
                return;
            table_->closeStalled(std::chrono::steady_clock::now());
            closeStalledLater();
        });
    }

    /// Logs only the first failure in succession.
    void didFailToAccept(const boost::system::error_code& error)
    {
        if (!std::exchange(hasAcceptFailed_, true))
            framework::logWarning("wire", "accept: " + error.message());
        acceptTimer_.expires_after(acceptRetryDelay);
        acceptTimer_.async_wait([this](const boost::system::error_code& waitError) {
            if (!waitError && acceptor_->is_open())
                accept();
        });
    }

    /// Prevents a link for which there is no memory from ending the accepting of others.
    void addGuarded(const TcpLink::Strand& strand, tcp::socket socket)
    {
        try {
            addAcceptedLink(strand, std::move(socket));
        } catch (...) {
            framework::reportException("an accepted link");
        }
    }

    void addAcceptedLink(const TcpLink::Strand& strand, tcp::socket socket)
    {
        boost::system::error_code error;
        const tcp::endpoint remote = socket.remote_endpoint(error);
        if (error)
            return;
        auto link
            = std::make_shared<TcpLink>(strand, framework::endpointOf(remote), settings_, handlers_, metrics_, table_);
        if (!table_->add(link, std::chrono::steady_clock::now()))
            return;
        link->socket() = std::move(socket);
        boost::asio::post(strand, [link] { link->start(); });
    }

    LinkSettings settings_;
    std::shared_ptr<framework::Metrics> metrics_;
    std::shared_ptr<LinkTable> table_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::optional<tcp::acceptor> acceptor_;
    boost::asio::steady_timer acceptTimer_ { context_ };
    boost::asio::steady_timer stallTimer_ { context_ };
    bool hasAcceptFailed_ = false;
    LinkHandlers handlers_;
    std::vector<std::thread> threads_;
};

} // namespace

std::shared_ptr<ILinkTransport> makeTcpLinkTransport(
    const LinkSettings& settings, std::shared_ptr<framework::Metrics> metrics)
{
    return std::make_shared<TcpLinkTransport>(settings, std::move(metrics));
}

} // namespace lagoon::wire
