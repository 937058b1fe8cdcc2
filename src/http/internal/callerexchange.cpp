#include "http/internal/callerexchange.h"

#include "http/internal/callerconnection.h"

#include <utility>

namespace lagoon::http {

CallerExchange::CallerExchange(std::shared_ptr<CallerConnection> connection, Request request,
    std::unique_ptr<ByteReservation> bodyReservation, framework::SteadyTime headReceivedAt,
    framework::SteadyTime receivedAt)
    : connection_(std::move(connection))
    , request_(std::move(request))
    , bodyReservation_(std::move(bodyReservation))
    , headReceivedAt_(headReceivedAt)
    , receivedAt_(receivedAt)
{
}

CallerExchange::~CallerExchange()
{
    if (connection_)
        connection_->failDropped();
}

std::shared_ptr<CallerConnection> CallerExchange::release()
{
    onDisconnect_ = nullptr;
    onDrained_ = nullptr;
    return std::exchange(connection_, nullptr);
}

void CallerExchange::answer(ResponseHead head, std::string body)
{
    if (const auto connection = release())
        connection->runGuarded([&] { connection->answer(std::move(head), std::move(body)); });
}

void CallerExchange::beginAnswer(ResponseHead head)
{
    if (connection_)
        connection_->beginAnswer(std::move(head));
}

void CallerExchange::sendPiece(std::string_view piece)
{
    if (connection_)
        connection_->sendPiece(piece);
}

void CallerExchange::endAnswer()
{
    if (const auto connection = release())
        connection->runGuarded([&] { connection->endAnswer(); });
}

void CallerExchange::breakOff()
{
    if (const auto connection = release())
        connection->runGuarded([&] { connection->breakOff(); });
}

bool CallerExchange::hasCallerDisconnected() const { return !connection_ || connection_->hasCallerDisconnected(); }

std::size_t CallerExchange::unsentBytes() const { return connection_ ? connection_->unsentBytes() : 0; }

void CallerExchange::setDisconnectHandler(std::function<void()> handler) { onDisconnect_ = std::move(handler); }

void CallerExchange::setDrainedHandler(std::function<void()> handler) { onDrained_ = std::move(handler); }

void CallerExchange::handleDisconnect()
{
    connection_ = nullptr;
    onDrained_ = nullptr;
    if (auto handler = std::exchange(onDisconnect_, nullptr))
        handler();
}

void CallerExchange::didDrain()
{
    // Copied, since the handler may end the exchange and thereby destroy itself.
    if (auto handler = onDrained_)
        handler();
}

} // namespace lagoon::http
