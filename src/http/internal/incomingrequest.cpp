#include "http/internal/incomingrequest.h"

#include "http/internal/messagereader.h"

#include <utility>

namespace lagoon::http {

IncomingRequest::IncomingRequest(std::uint32_t headerLimit, std::uint64_t bodyLimit)
    : headerLimit_(headerLimit)
{
    parser_.eager(true);
    parser_.header_limit(headerLimit);
    parser_.body_limit(bodyLimit);
    overhead_.countChunks(parser_);
}

std::size_t IncomingRequest::put(
    boost::asio::const_buffer bytes, framework::SteadyTime now, boost::system::error_code& error)
{
    const std::size_t bodyBefore = parser_.get().body().size();
    const std::size_t parsed = parser_.put(bytes, error);
    newBodyBytes_ = parser_.get().body().size() - bodyBefore;
    overhead_.didParse(parsed);
    overhead_.didReadBody(newBodyBytes_);
    progress_.add(parsed, now);
    if (!hasReportedHead_)
        headReceivedAt_ = now;
    return parsed;
}

bool IncomingRequest::didCompleteHead() { return parser_.is_header_done() && !std::exchange(hasReportedHead_, true); }

Request IncomingRequest::head() const
{
    const auto& message = parser_.get();
    return { std::string(message.method_string()), std::string(message.target()), headersOf(message), {},
        message.version() >= 11 };
}

Request IncomingRequest::release()
{
    Request request = head();
    request.body = std::move(parser_.release().body());
    return request;
}

void IncomingRequest::expectBody(std::uint64_t bytes, framework::Deadline by)
{
    expectedBodyBytes_ = parser_.get().body().size() + bytes;
    expectedBodyBy_ = by;
}

bool IncomingRequest::reserveBody(const std::shared_ptr<ByteBudget>& budget)
{
    if (!reservation_)
        reservation_
            = std::make_unique<ByteReservation>(budget, ByteBudget::Use::Request, std::string(parser_.get()["Host"]));
    return reservation_->grow(newBodyBytes_);
}

} // namespace lagoon::http
