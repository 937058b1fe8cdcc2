#include "wire/internal/tcplink.h"

#include "framework/eventloop.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace lagoon::wire {

using framework::Error;
using framework::ErrorCode;

namespace {

constexpr std::size_t maxPieceBytes = 16 * 1024;
constexpr framework::Milliseconds roomRetryDelay { 20 };

} // namespace

TcpLink::TcpLink(const Strand& strand, framework::Endpoint peer, const LinkSettings& settings, LinkHandlers handlers,
    std::shared_ptr<framework::Metrics> metrics, std::shared_ptr<LinkTable> table)
    : strand_(strand)
    , socket_(strand)
    , connectTimer_(strand)
    , roomTimer_(strand)
    , peer_(std::move(peer))
    , settings_(settings)
    , handlers_(std::move(handlers))
    , metrics_(std::move(metrics))
    , table_(std::move(table))
{
}

TcpLink::~TcpLink() { table_->remove(*this); }

void TcpLink::start()
{
    isConnected_ = true;
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    readLength();
    write();
}

void TcpLink::startConnecting(const boost::asio::ip::tcp::endpoint& endpoint)
{
    connectTimer_.expires_after(settings_.connectTimeout);
    connectTimer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->isConnected_)
            self->fail(Error { ErrorCode::LinkLost, "connect", self->peer_.value(), "no answer in time" });
    });
    socket_.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& error) {
        if (self->isClosed_)
            return;
        self->connectTimer_.cancel();
        if (error)
            return self->fail(Error { ErrorCode::LinkLost, "connect", self->peer_.value(), error.message() });
        self->start();
    });
}

void TcpLink::failLater(Error error)
{
    boost::asio::post(strand_, [self = shared_from_this(), error = std::move(error)] { self->fail(error); });
}

void TcpLink::failFor(const char* reason)
{
    metrics_->count("lagoon_links_closed_total", { { "reason", "limit" } });
    failLater(Error { ErrorCode::LinkLost, "read", peer_.value(), reason });
}

void TcpLink::send(const Message& message)
{
    boost::asio::post(strand_, [self = shared_from_this(), bytes = encode(message)]() mutable {
        if (self->isClosed_)
            return;
        self->table_->didQueue(*self, bytes.size());
        self->queue_.push_back(std::move(bytes));
        self->write();
    });
}

void TcpLink::close()
{
    boost::asio::post(strand_, [self = shared_from_this()] { self->closeSocket(); });
}

void TcpLink::readLength()
{
    boost::asio::async_read(socket_, boost::asio::buffer(lengthBytes_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
            if (self->isClosed_)
                return;
            if (error)
                return self->fail(Error { ErrorCode::LinkLost, "read", self->peer_.value(), error.message() });
            std::size_t length = 0;
            for (std::size_t index = 0; index < self->lengthBytes_.size(); ++index)
                length |= static_cast<std::size_t>(self->lengthBytes_[index]) << (8 * index);
            if (length == 0 || length > self->settings_.maxFrameBytes) {
                self->metrics_->count("lagoon_bad_frames_total", { { "reason", "length" } });
                return self->fail(Error { ErrorCode::BadFrame, "read", self->peer_.value(),
                    "frame of " + std::to_string(length) + " bytes" });
            }
            self->readBody(length);
        });
}

/// Reads the frame in pieces, since a length is only a claim until its bytes arrive.
void TcpLink::readBody(std::size_t length)
{
    const std::size_t received = bodyBytes_.size();
    const std::size_t piece = std::min(length - received, maxPieceBytes);
    // Frames of one piece, which most are, never wait for those that fill the room.
    if (received > 0 && !table_->reserve(*this, piece, std::chrono::steady_clock::now()))
        return readBodyLater(length);
    try {
        bodyBytes_.resize(received + piece);
    } catch (...) {
        return failByException("read");
    }
    boost::asio::async_read(socket_, boost::asio::buffer(&bodyBytes_[received], piece),
        [self = shared_from_this(), length](const boost::system::error_code& error, std::size_t) {
            if (self->isClosed_)
                return;
            if (error)
                return self->fail(Error { ErrorCode::LinkLost, "read", self->peer_.value(), error.message() });
            if (self->bodyBytes_.size() < length) {
                self->table_->didReceivePiece(*self, std::chrono::steady_clock::now());
                return self->readBody(length);
            }
            try {
                self->deliver();
            } catch (...) {
                self->failByException("handle");
            }
        });
}

/// Leaves the rest of the frame to the peer until there is room for it.
void TcpLink::readBodyLater(std::size_t length)
{
    roomTimer_.expires_after(roomRetryDelay);
    roomTimer_.async_wait([self = shared_from_this(), length](const boost::system::error_code& error) {
        if (!error && !self->isClosed_)
            self->readBody(length);
    });
}

void TcpLink::deliver()
{
    table_->didReceiveFrame(*this);
    // Released, since most frames are small and links stay idle for long.
    const std::vector<std::uint8_t> bytes = std::exchange(bodyBytes_, {});
    framework::Result<Message> message = decode(bytes.data(), bytes.size());
    if (message.has_error()) {
        metrics_->count("lagoon_bad_frames_total", { { "reason", "content" } });
        Error error = message.error();
        error.peer = peer_.value();
        return fail(std::move(error));
    }
    handlers_.onMessage(shared_from_this(), std::move(message.value()));
    if (!isClosed_)
        readLength();
}

void TcpLink::write()
{
    if (!isConnected_ || isWriting_ || isClosed_ || queue_.empty())
        return;
    isWriting_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(queue_.front()),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
            self->isWriting_ = false;
            if (self->isClosed_)
                return;
            if (error)
                return self->fail(Error { ErrorCode::LinkLost, "write", self->peer_.value(), error.message() });
            self->table_->didSend(*self, self->queue_.front().size());
            self->queue_.pop_front();
            self->write();
        });
}

/// Closes the link whose message couldn't be handled: its peer would otherwise wait for an answer that never comes.
void TcpLink::failByException(const char* step)
{
    framework::reportException("the handler of a link");
    fail(Error { ErrorCode::LinkLost, step, peer_.value(), "the handler threw an exception" });
}

void TcpLink::fail(Error error)
{
    if (isClosed_)
        return;
    // The handlers reference their owner, which references this link, so the handler is copied before the socket
    // closes.
    auto onClosed = handlers_.onClosed;
    closeSocket();
    if (onClosed)
        onClosed(shared_from_this(), error);
}

void TcpLink::closeSocket()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    boost::system::error_code ignored;
    connectTimer_.cancel(ignored);
    roomTimer_.cancel(ignored);
    table_->remove(*this);
    socket_.close(ignored);
    queue_.clear();
}

} // namespace lagoon::wire
