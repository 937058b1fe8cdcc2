#include "http/internal/callerconnection.h"

#include "framework/tcpendpoint.h"
#include "http/internal/callerexchange.h"
#include "http/internal/messagereader.h"
#include "http/internal/messagewriter.h"
#include "http/internal/socketoptions.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstring>
#include <sys/socket.h>
#include <utility>

namespace lagoon::http {

namespace {

namespace beast = boost::beast;
using framework::Deadline;
using framework::Milliseconds;

constexpr std::size_t readBufferBytes = 16 * 1024;
/// How much a caller may send ahead while its request is handled; then reading pauses.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;
/// How much of answers a caller may leave unread before its requests that were sent ahead wait.
constexpr std::size_t maxUnsentBeforeRequest = 64 * 1024;
/// How long the connection stays open after its last answer, and after what a caller that is still sending sent last:
/// closing it earlier would reset it, and the refusal could be lost in transit.
constexpr Milliseconds lingerTimeout { 1000 };
/// Limits how long a caller that does not stop sending keeps its connection after the last answer.
constexpr Milliseconds maxLingerTime { 10000 };
/// How long a shutdown leaves a connection open on which a request is likely to be on its way: one that has just been
/// accepted, or whose last answer didn't announce the close.
constexpr Milliseconds nextRequestTime { 1000 };
/// Limits how long a caller may read nothing of an answer that fills its receive buffer, and how long the request of a
/// caller whose machine has become unreachable is still handled. The kernel does not distinguish the two.
constexpr Milliseconds callerUnresponsiveTimeout { 60000 };

/// What answers that callers haven't read yet count as in the budget. Not the name of a peer.
constexpr const char* unsentAnswers = "unsent answers";

/// Prevents request smuggling: a peer that uses another of the framings than this server would see two requests where
/// this server sees one. Beast refuses most spellings of a length together with chunks, but accepts a repeated length.
bool hasSingleFraming(const Headers& headers)
{
    const std::size_t lengths = headers.count("Content-Length");
    const std::size_t codings = headers.count("Transfer-Encoding");
    if (lengths + codings > 1)
        return false;
    return codings == 0 || equalsIgnoringCase(*headers.find("Transfer-Encoding"), "chunked");
}

} // namespace

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ConnectionContext> context,
    std::function<void(CallerConnection*)> onClosed)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , context_(std::move(context))
    , onClosed_(std::move(onClosed))
{
}

void CallerConnection::start()
{
    setLivenessOptions(socket_, callerUnresponsiveTimeout);
    expectNextRequest();
    armTimer(context_->limits.idleTimeout, &CallerConnection::handleIdleTimeout);
    read();
}

void CallerConnection::read()
{
    if (isReading_ || stage_ == Stage::Closed)
        return;
    if ((stage_ == Stage::Handling || isNextRequestPaused()) && buffer_.size() >= maxPipelinedBytes)
        return;
    isReading_ = true;
    readTarget_ = buffer_.prepare(readBufferBytes);
    socket_.async_read_some(
        readTarget_, [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
            self->isReading_ = false;
            self->runGuarded([&] { self->didRead(error, bytes); });
        });
}

void CallerConnection::didRead(const boost::system::error_code& error, std::size_t bytes)
{
    if (stage_ == Stage::Closed)
        return;
    const bool wasClosing = std::exchange(isClosingIdle_, false);
    if (wasClosing && error == boost::asio::error::operation_aborted)
        return isIdle() ? close() : read();
    if (error)
        return handleDisconnect();
    if (stage_ == Stage::Closing) {
        if (isLingering_)
            armLingerTimer();
        return read();
    }
    commitRead(bytes);
    if (stage_ != Stage::Handling)
        parse();
    read();
}

/// Prevents a caller that sends requests ahead and reads no answer from using up the memory by the answers.
bool CallerConnection::isNextRequestPaused() const
{
    return stage_ == Stage::Idle && unsentBytes_ > maxUnsentBeforeRequest;
}

void CallerConnection::parseSentAhead()
{
    if (stage_ != Stage::Idle || isNextRequestPaused() || buffer_.size() == 0)
        return;
    parse();
    read();
}

/// Prevents bytes of an earlier request from being taken for the next one: requests that were sent ahead are parsed
/// while a read is pending, and a buffer that they leave empty starts over at its beginning.
void CallerConnection::commitRead(std::size_t bytes)
{
    const auto next = buffer_.prepare(bytes);
    if (next.data() != readTarget_.data())
        std::memmove(next.data(), readTarget_.data(), bytes);
    buffer_.commit(bytes);
}

void CallerConnection::parse()
{
    while (buffer_.size() > 0 && (stage_ == Stage::Idle || stage_ == Stage::Reading) && !isNextRequestPaused()) {
        if (!parser_)
            beginRequest();
        boost::system::error_code error;
        const std::size_t bodyBefore = parser_->get().body().size();
        const std::size_t parsed = parser_->put(buffer_.data(), error);
        const std::size_t bodyBytes = parser_->get().body().size() - bodyBefore;
        overhead_.didParse(parsed);
        overhead_.didReadBody(bodyBytes);
        requestProgress_.add(parsed, std::chrono::steady_clock::now());
        bodyBytes_ += bodyBytes;
        buffer_.consume(parsed);
        reserveBody(bodyBytes);
        if (stage_ == Stage::Reading)
            didParse(error);
        refuseIfOverheadIsOver(error ? buffer_.size() : 0);
        if (error == beast::http::error::need_more)
            return;
    }
}

/// Prevents callers whose bodies arrive slowly from using up the memory together.
void CallerConnection::reserveBody(std::size_t bytes)
{
    if (bytes == 0)
        return;
    if (!bodyReservation_)
        bodyReservation_ = std::make_unique<ByteReservation>(
            context_->budget, ByteBudget::Use::Request, std::string(parser_->get()["Host"]));
    while (!bodyReservation_->grow(bytes)) {
        if (!context_->refuseSlowerBody || !context_->refuseSlowerBody(*this, bytes))
            return refuse(context_->budgetRefusal, "no memory for the body");
    }
}

/// Prevents a caller from using up the memory by a request whose framing doesn't end.
void CallerConnection::refuseIfOverheadIsOver(std::size_t unparsed)
{
    if (stage_ == Stage::Reading && overhead_.isOver(context_->limits.headerBytes, unparsed))
        refuse({ 431, {}, {} }, "too many bytes that are no body");
}

void CallerConnection::beginRequest()
{
    stage_ = Stage::Reading;
    hasRequestHead_ = false;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(context_->limits.headerBytes);
    parser_->body_limit(context_->limits.bodyBytes);
    overhead_.reset();
    overhead_.countChunks(*parser_);
    requestProgress_ = {};
    bodyBytes_ = 0;
    needSince_ = std::chrono::steady_clock::now();
    armTimer(context_->limits.headerTimeout, &CallerConnection::handleHeaderTimeout);
}

void CallerConnection::didParse(const boost::system::error_code& error)
{
    if (error && error != beast::http::error::need_more) {
        if (error == beast::http::error::header_limit)
            return refuse({ 431, {}, {} }, "head too long");
        return refuse({ error == beast::http::error::body_limit ? 413U : 400U, {}, {} }, error.message());
    }
    if (parser_->is_header_done() && !std::exchange(hasRequestHead_, true) && didRefuseHead())
        return;
    if (parser_->is_done())
        handOver();
}

/// Returns whether the head was refused. Otherwise sends `100 Continue` to a caller that waits for it.
bool CallerConnection::didRefuseHead()
{
    timer_.cancel();
    const Headers headers = headersOf(parser_->get());
    if (!hasSingleFraming(headers) || (parser_->get().version() >= 11 && headers.count("Host") != 1)) {
        refuse({ 400, {}, {} }, "ambiguous framing, or not one host");
        return true;
    }
    if (!parser_->is_done() && headers.hasToken("Expect", "100-continue"))
        send("HTTP/1.1 100 Continue\r\n\r\n");
    expectBodyProgress();
    return false;
}

void CallerConnection::handOver()
{
    stage_ = Stage::Handling;
    hasBegunAnswer_ = false;
    timer_.cancel();
    auto message = parser_->release();
    endsAfterAnswer_ = !message.keep_alive();
    isChunked_ = message.version() >= 11;
    parser_.reset();
    Request request { std::string(message.method_string()), std::string(message.target()), headersOf(message),
        std::move(message.body()) };
    auto exchange = std::make_shared<CallerExchange>(
        shared_from_this(), std::move(request), std::move(bodyReservation_), std::chrono::steady_clock::now());
    exchange_ = exchange;
    context_->handler.handle(exchange);
}

void CallerConnection::refuse(const ResponseHead& head, const std::string& cause)
{
    boost::system::error_code ignored;
    if (context_->didRefuse)
        context_->didRefuse({ head.status, cause, framework::endpointOf(socket_.remote_endpoint(ignored)) });
    parser_.reset();
    bodyReservation_.reset();
    endsAfterAnswer_ = true;
    stage_ = Stage::Handling;
    answer(head, {});
}

void CallerConnection::addFraming(ResponseHead& head, std::optional<std::size_t> length)
{
    removeConnectionFields(head.headers);
    if (length)
        head.headers.add("Content-Length", std::to_string(*length));
    else if (isChunked_)
        head.headers.add("Transfer-Encoding", "chunked");
    else
        endsAfterAnswer_ = true;
    if (context_->isDraining)
        endsAfterAnswer_ = true;
    if (endsAfterAnswer_)
        head.headers.add("Connection", "close");
}

void CallerConnection::answer(ResponseHead head, std::string body)
{
    if (stage_ != Stage::Handling)
        return;
    addFraming(head, body.size());
    std::string text = headText(head).append(body);
    auto reservation = std::make_unique<ByteReservation>(context_->budget, ByteBudget::Use::Answer, unsentAnswers);
    reservation->growAnyway(text.size());
    send(std::move(text), std::move(reservation));
    finishAnswer();
}

void CallerConnection::beginAnswer(ResponseHead head)
{
    addFraming(head, std::nullopt);
    pendingHead_ = headText(head);
}

void CallerConnection::sendPiece(std::string_view piece)
{
    if (stage_ != Stage::Handling)
        return;
    hasBegunAnswer_ = true;
    std::string text = std::exchange(pendingHead_, {});
    text += isChunked_ ? chunkText(piece) : std::string(piece);
    send(std::move(text));
}

void CallerConnection::endAnswer()
{
    if (stage_ != Stage::Handling)
        return;
    std::string text = std::exchange(pendingHead_, {});
    if (isChunked_)
        text += lastChunk;
    send(std::move(text));
    finishAnswer();
}

void CallerConnection::breakOff()
{
    // Pieces that are already queued are still sent, since the caller can use complete pieces.
    if (stage_ != Stage::Handling)
        return;
    pendingHead_.clear();
    if (!isChunked_)
        return reset();
    stage_ = Stage::Closing;
    if (unsent_.empty())
        close();
}

/// Answers with 500 if the handler dropped the request before any byte of the answer was sent; otherwise breaks the
/// answer off. Without this, the caller would receive neither an answer nor a refusal.
void CallerConnection::failDropped() noexcept
{
    try {
        if (hasBegunAnswer_)
            return breakOff();
        endsAfterAnswer_ = true;
        answer(ResponseHead { 500, {}, {} }, {});
    } catch (...) {
        framework::reportException("the answer to a failed request");
        reset();
    }
}

/// Ends a request whose handling threw with 500, or breaks its answer off: nobody else would answer it.
void CallerConnection::failAfterException() noexcept
{
    const auto keepAlive = shared_from_this();
    try {
        if (stage_ == Stage::Reading)
            refuse({ 500, {}, {} }, "exception");
        else if (stage_ == Stage::Handling)
            failRequest();
        else if (stage_ == Stage::Idle && !unsent_.empty())
            closeAfterAnswer();
        else if (stage_ != Stage::Closing)
            close();
        read();
    } catch (...) {
        framework::reportException("the end of a failed request");
        close();
    }
}

void CallerConnection::failRequest()
{
    const auto exchange = exchange_.lock();
    failDropped();
    if (exchange)
        exchange->handleDisconnect();
}

void CallerConnection::closeAfterAnswer()
{
    endsAfterAnswer_ = true;
    stage_ = Stage::Closing;
}

/// Resets the connection, since without chunks its normal close would mean that the answer is complete.
void CallerConnection::reset()
{
    setResetOnClose();
    close();
}

void CallerConnection::setResetOnClose()
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void CallerConnection::finishAnswer()
{
    if (endsAfterAnswer_) {
        stage_ = Stage::Closing;
        if (unsent_.empty())
            linger();
        return;
    }
    stage_ = Stage::Idle;
    if (unsent_.empty())
        becomeIdle();
    if (stage_ == Stage::Closed)
        return;
    // Posted, since the handler that answers may still be on the stack.
    if (buffer_.size() > 0)
        boost::asio::post(
            socket_.get_executor(), [self = shared_from_this()] { self->runGuarded([&] { self->parse(); }); });
    read();
}

void CallerConnection::send(std::string bytes, std::unique_ptr<ByteReservation> reservation)
{
    if (bytes.empty())
        return;
    unsentBytes_ += bytes.size();
    unsent_.push_back({ std::move(bytes), std::move(reservation) });
    write();
}

void CallerConnection::write()
{
    if (isWriting_ || unsent_.empty() || stage_ == Stage::Closed)
        return;
    isWriting_ = true;
    try {
        boost::asio::async_write(socket_, boost::asio::buffer(unsent_.front().bytes),
            [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
                self->runGuarded([&] { self->didWrite(error); });
            });
    } catch (...) {
        // A further answer would follow on what has been sent of this one.
        framework::reportException("a write to a caller");
        setResetOnClose();
        handleDisconnect();
    }
}

void CallerConnection::didWrite(const boost::system::error_code& error)
{
    isWriting_ = false;
    if (stage_ == Stage::Closed)
        return;
    if (error)
        return handleDisconnect();
    unsentBytes_ -= unsent_.front().bytes.size();
    unsent_.pop_front();
    if (unsent_.empty())
        didWriteAll();
    else
        write();
    parseSentAhead();
}

void CallerConnection::didWriteAll()
{
    if (stage_ == Stage::Closing)
        return endsAfterAnswer_ ? linger() : close();
    if (stage_ == Stage::Idle)
        return becomeIdle();
    if (const auto exchange = exchange_.lock())
        exchange->didDrain();
}

void CallerConnection::armTimer(Milliseconds after, void (CallerConnection::*onExpired)())
{
    timer_.expires_after(after);
    timer_.async_wait([weak = weak_from_this(), onExpired](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->stage_ != Stage::Closed)
            self->runGuarded([&] { (self.get()->*onExpired)(); });
    });
}

void CallerConnection::handleIdleTimeout() { closeIfIdle(); }

void CallerConnection::handleHeaderTimeout()
{
    if (stage_ == Stage::Reading && !hasRequestHead_)
        refuse({ 408, {}, {} }, "head not in time");
}

void CallerConnection::expectBodyProgress()
{
    const ExchangeLimits& limits = context_->limits;
    expectedBodyBytes_ = bodyBytes_ + limits.bodyProgressBytes;
    armTimer(std::max(limits.bodyProgressTimeout, limits.idleTimeout), &CallerConnection::checkBodyProgress);
}

/// Prevents a caller that doesn't finish its body from keeping its connection and its memory forever.
void CallerConnection::checkBodyProgress()
{
    if (stage_ != Stage::Reading)
        return;
    if (bodyBytes_ < expectedBodyBytes_)
        return refuse({ 408, {}, {} }, "body too slow");
    expectBodyProgress();
}

/// Shuts the sending side down, and reads and discards what the caller still sends.
void CallerConnection::linger()
{
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    isLingering_ = true;
    needSince_ = std::chrono::steady_clock::now();
    lingersUntil_ = Deadline::after(std::chrono::steady_clock::now(), maxLingerTime);
    armLingerTimer();
    read();
}

void CallerConnection::armLingerTimer()
{
    const Milliseconds left = lingersUntil_.remaining(std::chrono::steady_clock::now());
    armTimer(std::min(lingerTimeout, left), &CallerConnection::close);
}

/// Does not detect a disconnect behind unread bytes that the caller has sent ahead.
bool CallerConnection::hasCallerDisconnected()
{
    if (stage_ == Stage::Closed)
        return true;
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}

void CallerConnection::handleDisconnect()
{
    const auto exchange = exchange_.lock();
    close();
    if (exchange)
        exchange->handleDisconnect();
}

/// Called when the whole answer has been written, so that the idle timeout, which starts here, cannot truncate an
/// answer that is still being sent.
void CallerConnection::becomeIdle()
{
    expectNextRequest();
    if (context_->closesIdle)
        return closeWhenIdle();
    armTimer(context_->limits.idleTimeout, &CallerConnection::handleIdleTimeout);
}

void CallerConnection::expectNextRequest()
{
    needSince_ = std::chrono::steady_clock::now();
    openUntil_ = Deadline::after(std::chrono::steady_clock::now(), nextRequestTime);
}

void CallerConnection::closeWhenIdle()
{
    if (!isIdle())
        return;
    closesWhenIdle_ = true;
    armTimer(openUntil_.remaining(std::chrono::steady_clock::now()), &CallerConnection::closeIfIdle);
}

bool CallerConnection::isBusy() const
{
    return stage_ != Stage::Closed && (closesWhenIdle_ || isClosingIdle_ || !isIdle());
}

std::optional<Deadline> CallerConnection::openUntil() const
{
    if (stage_ != Stage::Idle || isClosingIdle_ || !unsent_.empty())
        return std::nullopt;
    return openUntil_;
}

/// Returns whether there is neither a request nor an answer on the connection. Received bytes that have not been read
/// yet count as a request, since closing the connection with unread bytes would reset it.
bool CallerConnection::isIdle() const
{
    boost::system::error_code ignored;
    return stage_ == Stage::Idle && unsent_.empty() && buffer_.size() == 0 && socket_.available(ignored) == 0;
}

/// Cancels the pending read, and closes the connection only if that read has received nothing. This prevents losing a
/// request that the event loop has read but not handled yet.
void CallerConnection::closeIfIdle()
{
    if (!isIdle())
        return;
    if (!isReading_)
        return close();
    isClosingIdle_ = true;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

void CallerConnection::refuseIncomplete(const ResponseHead& head, const std::string& cause)
{
    if (stage_ == Stage::Reading)
        runGuarded([&] { refuse(head, cause); });
}

const ByteReservation* CallerConnection::unfinishedBody() const
{
    return stage_ == Stage::Reading ? bodyReservation_.get() : nullptr;
}

CallerConnection::Need CallerConnection::need(framework::SteadyTime now) const
{
    if (stage_ == Stage::Closing && isLingering_)
        return Need::Lingering;
    if (stage_ == Stage::Reading)
        return Need::Receiving;
    const auto until = openUntil();
    if (!until)
        return Need::Answering;
    return until->hasPassed(now) ? Need::Idle : Need::Receiving;
}

void CallerConnection::makeRoom()
{
    if (stage_ == Stage::Closing && isLingering_)
        close();
    else if (stage_ == Stage::Reading)
        refuseIncomplete(context_->budgetRefusal, "connection needed for others");
    else
        closeIfIdle();
}

void CallerConnection::closeNow()
{
    const bool isTruncated = (stage_ == Stage::Handling && hasBegunAnswer_) || !unsent_.empty();
    if (isTruncated && !isChunked_)
        setResetOnClose();
    handleDisconnect();
}

void CallerConnection::close()
{
    if (stage_ == Stage::Closed)
        return;
    stage_ = Stage::Closed;
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    onClosed_(this);
}

} // namespace lagoon::http
