#include "http/internal/tcpclientconnection.h"

#include "framework/eventloop.h"
#include "framework/tcpendpoint.h"
#include "http/internal/messagewriter.h"
#include "http/internal/socketoptions.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>
#include <utility>

namespace lagoon::http {

namespace {

using boost::asio::ip::tcp;
using framework::Milliseconds;

constexpr std::size_t readBufferBytes = 16 * 1024;
/// Of all the bytes of an answer that aren't body.
constexpr std::uint64_t maxOverheadBytes = AnswerReader::maxHeadBytes;
/// How many answers to earlier requests are discarded before the connection fails.
constexpr unsigned maxMismatchedAnswers = 2;
constexpr unsigned maxInterimAnswers = 16;
/// How many bytes of answers to other requests are read and discarded before the connection fails.
constexpr std::uint64_t maxDiscardedBytes = 1024 * 1024;

/// Reads the timeout in seconds from a field such as `timeout=5, max=100`. Returns std::nullopt if there is none.
std::optional<Milliseconds> parseKeepAliveTimeout(const Headers& headers)
{
    const auto value = headers.find("Keep-Alive");
    const std::string_view key = "timeout=";
    const std::size_t at = value ? value->find(key) : std::string_view::npos;
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = value->substr(at + key.size());
    unsigned seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc())
        return std::nullopt;
    return Milliseconds(seconds * 1000LL);
}

} // namespace

std::string_view clientStepText(ClientStep step)
{
    switch (step) {
    case ClientStep::Connect:
        return "connect";
    case ClientStep::Send:
        return "send";
    case ClientStep::AwaitHead:
        return "await answer";
    case ClientStep::ReadBody:
        return "read body";
    }
    return "";
}

std::string ClientFailure::logText() const
{
    const std::string text = std::string(clientStepText(step)) + ": " + detail;
    return quote.empty() ? text : text + ": " + quote;
}

std::shared_ptr<ClientConnection> ClientConnection::make(boost::asio::io_context& context,
    const framework::Endpoint& endpoint, const ClientOptions& options, Observers observers)
{
    return std::make_shared<TcpClientConnection>(context, endpoint, options, std::move(observers));
}

TcpClientConnection::TcpClientConnection(
    boost::asio::io_context& context, framework::Endpoint endpoint, const ClientOptions& options, Observers observers)
    : context_(context)
    , socket_(context)
    , resolver_(context)
    , connectTimer_(context)
    , endpoint_(std::move(endpoint))
    , options_(options)
    , observers_(std::move(observers))
{
}

std::shared_ptr<TcpClientConnection> TcpClientConnection::self()
{
    return std::static_pointer_cast<TcpClientConnection>(shared_from_this());
}

/// An exception goes to the caller of `send` alone, which knows then that the request isn't answered.
void TcpClientConnection::send(const Request& request, std::shared_ptr<IAnswerSink> sink)
{
    try {
        begin(request, std::move(sink));
    } catch (...) {
        abandon();
        throw;
    }
}

void TcpClientConnection::begin(const Request& request, std::shared_ptr<IAnswerSink> sink)
{
    sink_ = std::move(sink);
    Request framed { request.method, request.target, request.headers, {} };
    removeConnectionFields(framed.headers);
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        framed.headers.add("Content-Length", std::to_string(request.body.size()));
    outgoing_ = { headText(framed), request.body };
    expectsNoBody_ = request.method == "HEAD";
    mayHaveSentBytes_ = false;
    isSent_ = false;
    isPaused_ = false;
    isReused_ = isConnected_;
    mismatchedAnswers_ = 0;
    interimAnswers_ = 0;
    discardedBytes_ = 0;
    overhead_.reset();
    keepAliveTimeout_.reset();
    beginAnswer();
    if (isConnected_)
        write();
    else
        connect();
}

void TcpClientConnection::connect()
{
    connectTimer_.expires_after(options_.connectTimeout);
    connectTimer_.async_wait([self = self()](const boost::system::error_code& error) {
        if (!error && !self->isConnected_)
            self->runGuarded([&] { self->fail(ClientStep::Connect, "no connection in time"); });
    });
    const auto address = framework::parseTcpEndpoint(endpoint_, "connect");
    if (address.has_error())
        return resolve();
    socket_.async_connect(address.value(), [self = self()](const boost::system::error_code& error) {
        self->runGuarded([&] { self->didConnect(error); });
    });
}

void TcpClientConnection::resolve()
{
    const std::string& text = endpoint_.value();
    const std::size_t colon = text.rfind(':');
    if (!options_.resolvesNames || colon == std::string::npos) {
        boost::asio::post(context_, [self = self()] { self->fail(ClientStep::Connect, "not an address"); });
        return;
    }
    resolver_.async_resolve(text.substr(0, colon), text.substr(colon + 1),
        [self = self()](const boost::system::error_code& error, const tcp::resolver::results_type& addresses) {
            self->runGuarded([&] { self->didResolve(error, addresses); });
        });
}

void TcpClientConnection::didResolve(
    const boost::system::error_code& error, const tcp::resolver::results_type& addresses)
{
    if (isClosed_)
        return;
    if (error)
        return fail(ClientStep::Connect, error.message());
    boost::asio::async_connect(
        socket_, addresses, [self = self()](const boost::system::error_code& failure, const tcp::endpoint&) {
            self->runGuarded([&] { self->didConnect(failure); });
        });
}

void TcpClientConnection::didConnect(const boost::system::error_code& error)
{
    if (isClosed_)
        return;
    connectTimer_.cancel();
    wasRefused_ = error == boost::asio::error::connection_refused;
    if (error)
        return fail(ClientStep::Connect, error.message());
    isConnected_ = true;
    setLivenessOptions(socket_, options_.unresponsiveTimeout);
    const auto sink = sink_;
    sink->willSend();
    if (isClosed_)
        return;
    write();
    read();
}

void TcpClientConnection::write()
{
    mayHaveSentBytes_ = true;
    const std::array<boost::asio::const_buffer, 2> buffers { boost::asio::buffer(outgoing_[0]),
        boost::asio::buffer(outgoing_[1]) };
    boost::asio::async_write(socket_, buffers, [self = self()](const boost::system::error_code& error, std::size_t) {
        if (self->isClosed_)
            return;
        // A write error is ignored: a server may refuse a request before it has read all of it, and its answer is still
        // read.
        if (!error)
            self->isSent_ = true;
    });
    read();
}

void TcpClientConnection::read()
{
    if (isReading_ || isPaused_ || isClosed_ || !isConnected_)
        return;
    isReading_ = true;
    socket_.async_read_some(
        buffer_.prepare(readBufferBytes), [self = self()](const boost::system::error_code& error, std::size_t bytes) {
            self->isReading_ = false;
            self->runGuarded([&] { self->didRead(error, bytes); });
        });
}

void TcpClientConnection::didRead(const boost::system::error_code& error, std::size_t bytes)
{
    if (isClosed_)
        return;
    if (error)
        return didEnd(error);
    buffer_.commit(bytes);
    // Bytes that arrive without a pending request would be mistaken for the answer to the next one.
    if (!sink_)
        return close();
    parse();
    read();
}

void TcpClientConnection::beginAnswer()
{
    reader_.emplace(expectsNoBody_, overhead_);
    isHeadDelivered_ = false;
    isAccepted_ = false;
}

void TcpClientConnection::parse()
{
    while (buffer_.size() > 0 && sink_ && !isClosed_) {
        buffer_.consume(reader_->put(buffer_.data()));
        const bool needsMore = reader_->needsMore();
        didParse();
        failIfOverheadIsOver(needsMore ? buffer_.size() : 0);
        if (needsMore)
            return;
    }
}

/// Prevents a server from using up the memory by an answer whose framing doesn't end.
void TcpClientConnection::failIfOverheadIsOver(std::size_t unparsed)
{
    if (sink_ && overhead_.isOver(maxOverheadBytes, unparsed))
        fail(readStep(), "too many bytes that are no body");
}

void TcpClientConnection::didParse()
{
    if (const auto& fault = reader_->fault())
        return fail(readStep(), "malformed answer, " + fault->what, fault->quote);
    if (reader_->isHeadDone() && !std::exchange(isHeadDelivered_, true))
        deliverHead();
    // All chunks of a read are delivered at once.
    const bool isReadOver = buffer_.size() == 0 || reader_->needsMore() || reader_->isDone();
    if (sink_ && isHeadDelivered_ && isReadOver)
        deliverBody();
    if (sink_ && reader_->isDone())
        finishAnswer();
}

void TcpClientConnection::deliverHead()
{
    if (reader_->isInterim())
        return;
    const ResponseHead head = reader_->head();
    keepAliveTimeout_ = parseKeepAliveTimeout(head.headers);
    const auto sink = sink_;
    isAccepted_ = sink->didReceiveHead(head);
}

void TcpClientConnection::deliverBody()
{
    const std::string piece = reader_->takeBody();
    if (!isAccepted_) {
        discardedBytes_ += piece.size();
        if (discardedBytes_ > maxDiscardedBytes)
            fail(ClientStep::AwaitHead, "long answer to another request");
        return;
    }
    if (piece.empty())
        return;
    const auto sink = sink_;
    sink->didReceiveBody(piece);
}

void TcpClientConnection::finishAnswer()
{
    if (isAccepted_)
        return finishAcceptedAnswer();
    if (reader_->isInterim() && ++interimAnswers_ <= maxInterimAnswers)
        return beginAnswer();
    if (++mismatchedAnswers_ > maxMismatchedAnswers)
        return fail(ClientStep::AwaitHead, "answers to other requests");
    beginAnswer();
}

void TcpClientConnection::finishAcceptedAnswer()
{
    const bool canReuse = reader_->canKeepConnection() && isSent_ && buffer_.size() == 0;
    const auto sink = std::exchange(sink_, nullptr);
    reader_.reset();
    if (canReuse)
        idleSince_ = std::chrono::steady_clock::now();
    else
        close();
    sink->didFinish();
    if (canReuse && !isClosed_ && !sink_) {
        isPaused_ = false;
        read();
        observers_.didBecomeIdle(shared_from_this());
    }
}

void TcpClientConnection::didEnd(const boost::system::error_code& error)
{
    if (!sink_)
        return close();
    // An answer with neither a length nor chunks is completed by an orderly close, but never by a reset. Until the
    // request is sent, the two can't be told apart: the write that a reset ends takes the socket's error, and the read
    // then only finds an end.
    const bool isComplete
        = error == boost::asio::error::eof && isSent_ && isHeadDelivered_ && reader_->endsWithConnection();
    if (!isComplete || !isAccepted_)
        return fail(readStep(), isSent_ ? error.message() : "ended before the request was sent, " + error.message());
    const auto sink = std::exchange(sink_, nullptr);
    close();
    sink->didFinish();
}

void TcpClientConnection::fail(ClientStep step, std::string detail, std::string quote)
{
    if (isClosed_)
        return;
    const auto sink = std::exchange(sink_, nullptr);
    close();
    if (sink)
        sink->didFail(ClientFailure { step, mayHaveSentBytes_, wasRefused_, std::move(detail), std::move(quote) });
}

void TcpClientConnection::abandon()
{
    sink_ = nullptr;
    close();
}

bool TcpClientConnection::isStale()
{
    char byte = 0;
    const auto size = ::recv(socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EINTR);
}

void TcpClientConnection::resume()
{
    isPaused_ = false;
    runGuarded([this] { read(); });
}

/// Fails the request after an exception: the connection would be neither read nor closed any more, and the request
/// would have no answer.
template <typename Action> void TcpClientConnection::runGuarded(const Action& action)
{
    const auto keepAlive = self();
    framework::runGuarded("a connection to a server", action, [this] {
        if (mayHaveSentBytes_)
            fail(readStep(), "exception");
        else
            fail(isConnected_ ? ClientStep::Send : ClientStep::Connect, "exception");
    });
}

void TcpClientConnection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    const auto thisConnection = shared_from_this();
    connectTimer_.cancel();
    resolver_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    observers_.didClose(thisConnection);
}

} // namespace lagoon::http
