#include "http/internal/callerconnection.h"

#include "framework/tcpendpoint.h"
#include "http/internal/callerexchange.h"
#include "http/internal/messagereader.h"
#include "http/internal/messagewriter.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

namespace lagoon::http {

namespace {

namespace beast = boost::beast;
using framework::Milliseconds;

constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr std::size_t maxWriteBytes = 64 * 1024;
/// How much a caller may send ahead while its request is handled; then reading pauses.
constexpr std::size_t maxPipelinedBytes = readBufferBytes;
/// How much of answers a caller may leave unread before its requests that were sent ahead wait.
constexpr std::size_t maxUnsentBeforeRequest = 64 * 1024;
/// Limits how long a caller may read nothing of an answer that fills its receive buffer, and how long the request of a
/// caller whose machine has become unreachable is still handled. The kernel does not distinguish the two.
constexpr Milliseconds callerUnresponsiveTimeout { 60000 };

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
    return stage_ == Stage::Idle && unsent_.bytes() > maxUnsentBeforeRequest;
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
        if (!incoming_)
            beginRequest();
        boost::system::error_code error;
        buffer_.consume(incoming_->put(buffer_.data(), std::chrono::steady_clock::now(), error));
        reserveBody();
        if (stage_ == Stage::Reading)
            didParse(error);
        refuseIfOverheadIsOver(error ? buffer_.size() : 0);
        if (error == beast::http::error::need_more)
            return;
    }
}

/// Prevents callers whose bodies arrive slowly from using up the memory together.
void CallerConnection::reserveBody()
{
    if (incoming_->newBodyBytes() == 0)
        return;
    while (!incoming_->reserveBody(context_->budget)) {
        if (!context_->refuseSlowerBody || !context_->refuseSlowerBody(*this))
            return refuse(context_->budgetRefusal, "no memory for the body");
    }
    growReceiveBuffer();
}

/// Lets the kernel hold more of a large body, whose bytes are counted: with the least buffer it would arrive slowly.
void CallerConnection::growReceiveBuffer()
{
    const std::size_t bytes = std::min(incoming_->reservation()->bytes(), maxReceiveBuffer);
    if (bytes < 2 * receiveBuffer_)
        return;
    receiveBuffer_ = bytes;
    setReceiveBuffer(socket_, receiveBuffer_);
}

/// Prevents a caller from using up the memory by a request whose framing doesn't end.
void CallerConnection::refuseIfOverheadIsOver(std::size_t unparsed)
{
    if (stage_ == Stage::Reading && incoming_->isOverheadOver(unparsed))
        refuse({ 431, {}, {} }, "too many bytes that are no body");
}

void CallerConnection::beginRequest()
{
    stage_ = Stage::Reading;
    incoming_.emplace(context_->limits.headerBytes, context_->limits.bodyBytes);
    needSince_ = std::chrono::steady_clock::now();
    armTimer(context_->limits.headerTimeout, &CallerConnection::handleHeaderTimeout);
}

void CallerConnection::didParse(const boost::system::error_code& error)
{
    if (error && error != beast::http::error::need_more) {
        if (error == beast::http::error::header_limit)
            return refuse({ 431, {}, {} }, "head too long");
        if (error == beast::http::error::bad_content_length || error == beast::http::error::bad_transfer_encoding)
            return refuse({ 400, {}, {} }, "the body's length is unclear");
        return refuse({ error == beast::http::error::body_limit ? 413U : 400U, {}, {} }, error.message());
    }
    if (incoming_->didCompleteHead() && didRefuseHead())
        return;
    if (incoming_->isComplete())
        handOver();
}

/// Returns whether the head was refused. Otherwise sends `100 Continue` to a caller that waits for it.
bool CallerConnection::didRefuseHead()
{
    timer_.cancel();
    const Request head = incoming_->head();
    if (!hasSingleFraming(head.headers)) {
        refuse({ 400, {}, {} }, "the body's length is unclear");
        return true;
    }
    if (head.isVersion11 && head.headers.count("Host") != 1) {
        refuse({ 400, {}, {} }, "expected one Host");
        return true;
    }
    return !incoming_->isComplete() && didRefuseBody(head);
}

bool CallerConnection::didRefuseBody(const Request& head)
{
    HeadDecision decision = context_->handler.checkHead(head);
    if (decision.refusal) {
        answerRefusal(std::move(*decision.refusal));
        return true;
    }
    incoming_->setBodyBy(decision.bodyBy);
    if (head.headers.hasToken("Expect", "100-continue"))
        send("HTTP/1.1 100 Continue\r\n\r\n");
    expectBodyProgress();
    return false;
}

void CallerConnection::handOver()
{
    stage_ = Stage::Handling;
    hasBegunAnswer_ = false;
    timer_.cancel();
    endsAfterAnswer_ = !incoming_->keepsAlive();
    const framework::SteadyTime headReceivedAt = incoming_->headReceivedAt();
    Request request = incoming_->release();
    auto reservation = incoming_->releaseReservation();
    incoming_.reset();
    if (std::exchange(receiveBuffer_, minReceiveBuffer) > minReceiveBuffer)
        setReceiveBuffer(socket_, minReceiveBuffer);
    isChunked_ = request.isVersion11;
    auto exchange = std::make_shared<CallerExchange>(shared_from_this(), std::move(request), std::move(reservation),
        headReceivedAt, std::chrono::steady_clock::now());
    exchange_ = exchange;
    context_->handler.handle(exchange);
}

void CallerConnection::refuse(const ResponseHead& head, const std::string& cause)
{
    boost::system::error_code ignored;
    const UnreadRefusal refusal { head.status, cause, framework::endpointOf(socket_.remote_endpoint(ignored)) };
    if (context_->didRefuse)
        context_->didRefuse(refusal);
    answerRefusal(context_->refusalWriter ? context_->refusalWriter->write(refusal) : Response { head, {} });
}

void CallerConnection::answerRefusal(Response response)
{
    incoming_.reset();
    endsAfterAnswer_ = true;
    stage_ = Stage::Handling;
    answer(std::move(response.head), std::move(response.body));
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
    sendAnswer(std::move(text));
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
    sendAnswer(std::move(text));
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
    if (unsent_.isEmpty())
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
        else if (stage_ == Stage::Idle && !unsent_.isEmpty())
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
    if (stage_ == Stage::Closed)
        return;
    if (endsAfterAnswer_) {
        stage_ = Stage::Closing;
        if (unsent_.isEmpty())
            linger();
        return;
    }
    stage_ = Stage::Idle;
    if (unsent_.isEmpty())
        becomeIdle();
    if (stage_ == Stage::Closed)
        return;
    // Posted, since the handler that answers may still be on the stack.
    if (buffer_.size() > 0)
        boost::asio::post(
            socket_.get_executor(), [self = shared_from_this()] { self->runGuarded([&] { self->parse(); }); });
    read();
}

void CallerConnection::sendAnswer(std::string text)
{
    auto reservation
        = std::make_unique<ByteReservation>(context_->budget, ByteBudget::Use::Answer, ByteBudget::unreadAnswers);
    if (!reservation->grow(text.size()))
        reservation->growAnyway(text.size());
    // To make room, the connection's own answers may have been dropped.
    if (stage_ != Stage::Closed)
        send(std::move(text), std::move(reservation));
}

void CallerConnection::send(std::string bytes, std::unique_ptr<ByteReservation> reservation)
{
    if (bytes.empty())
        return;
    unsent_.push(std::move(bytes), std::move(reservation), std::chrono::steady_clock::now());
    write();
}

void CallerConnection::write()
{
    if (isWriting_ || unsent_.isEmpty() || stage_ == Stage::Closed)
        return;
    isWriting_ = true;
    try {
        const auto didWritePart = [this](const boost::system::error_code& error, std::size_t bytes) {
            unsent_.didWritePart(bytes, std::chrono::steady_clock::now());
            return error ? 0 : maxWriteBytes;
        };
        boost::asio::async_write(socket_, unsent_.front(), didWritePart,
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
    unsent_.pop();
    if (unsent_.isEmpty())
        didWriteAll();
    else
        write();
    parseSentAhead();
}

double CallerConnection::recentShareOfRequest(framework::SteadyTime now) const
{
    return stage_ == Stage::Reading ? incoming_->recentShare(now) : 1;
}

void CallerConnection::dropUnreadAnswers(const std::string& cause)
{
    boost::system::error_code ignored;
    if (context_->didDropAnswers)
        context_->didDropAnswers({ unsent_.bytes(), cause, framework::endpointOf(socket_.remote_endpoint(ignored)) });
    setResetOnClose();
    // The pending write ends only after this. If it still counted, further answers would be dropped in vain.
    unsent_.discard();
    close();
    // Posted, since a handler that answers another request may need the memory.
    if (const auto exchange = exchange_.lock())
        boost::asio::post(socket_.get_executor(),
            [self = shared_from_this(), exchange] { self->runGuarded([&] { exchange->handleDisconnect(); }); });
}

void CallerConnection::checkAnswerProgress(framework::SteadyTime now)
{
    const ExchangeLimits& limits = context_->limits;
    if (!unsent_.checkProgress(limits.answerProgressBytes, limits.answerProgressTimeout, now))
        dropUnreadAnswers("read too slowly");
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
    if (stage_ == Stage::Reading && !incoming_->hasHead())
        refuse({ 408, {}, {} }, "head not in time");
}

void CallerConnection::expectBodyProgress()
{
    const ExchangeLimits& limits = context_->limits;
    const framework::SteadyTime now = std::chrono::steady_clock::now();
    const Milliseconds timeout = std::max(limits.bodyProgressTimeout, limits.idleTimeout);
    incoming_->expectBody(limits.bodyProgressBytes, framework::Deadline::after(now, timeout));
    armTimer(std::min(timeout, incoming_->bodyBy().remaining(now)), &CallerConnection::checkBodyProgress);
}

/// Prevents a caller that doesn't finish its body from keeping its connection and its memory forever.
void CallerConnection::checkBodyProgress()
{
    if (stage_ != Stage::Reading)
        return;
    const framework::SteadyTime now = std::chrono::steady_clock::now();
    if (incoming_->bodyBy().hasPassed(now))
        return refuse({ 408, {}, {} }, "the body didn't arrive in time");
    if (incoming_->expectedBodyBy().hasPassed(now) && !incoming_->hasExpectedBody())
        return refuse({ 408, {}, {} }, "body too slow");
    expectBodyProgress();
}

} // namespace lagoon::http
