#include "framework/eventloop.h"
#include "http/internal/callerconnection.h"
#include "http/internal/callerexchange.h"

#include <algorithm>
#include <sys/socket.h>

/// How a connection ends: when it is idle, when it makes room for others, and after its last answer.
namespace lagoon::http {

namespace {

using framework::Deadline;
using framework::Milliseconds;

/// How long the connection stays open after its last answer, and after what a caller that is still sending sent last:
/// closing it earlier would reset it, and the refusal could be lost in transit.
constexpr Milliseconds lingerTimeout { 1000 };
/// Limits how long a caller that does not stop sending keeps its connection after the last answer.
constexpr Milliseconds maxLingerTime { 10000 };
/// How long a shutdown leaves a connection open on which a request is likely to be on its way: one that has just been
/// accepted, or whose last answer didn't announce the close.
constexpr Milliseconds nextRequestTime { 1000 };

} // namespace

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
    if (stage_ != Stage::Idle || isClosingIdle_ || !unsent_.isEmpty())
        return std::nullopt;
    return openUntil_;
}

/// Returns whether there is neither a request nor an answer on the connection. Received bytes that have not been read
/// yet count as a request, since closing the connection with unread bytes would reset it.
bool CallerConnection::isIdle() const
{
    boost::system::error_code ignored;
    return stage_ == Stage::Idle && unsent_.isEmpty() && buffer_.size() == 0 && socket_.available(ignored) == 0;
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
    return stage_ == Stage::Reading ? incoming_->reservation() : nullptr;
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
    const bool isTruncated = (stage_ == Stage::Handling && hasBegunAnswer_) || !unsent_.isEmpty();
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
