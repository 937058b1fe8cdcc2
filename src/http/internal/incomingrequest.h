#pragma once

#include "http/bytebudget.h"
#include "http/internal/growingbody.h"
#include "http/internal/messageoverhead.h"
#include "http/internal/recentprogress.h"
#include "http/types/message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace lagoon::http {

/// A request while it is received.
class IncomingRequest {
public:
    IncomingRequest(std::uint32_t headerLimit, std::uint64_t bodyLimit);

    /// Parses what is complete of the bytes, and returns its length.
    std::size_t put(boost::asio::const_buffer, framework::SteadyTime now, boost::system::error_code&);
    bool hasHead() const { return parser_.is_header_done(); }
    bool isComplete() const { return parser_.is_done(); }
    /// Returns true once: after the `put` that has completed the head.
    bool didCompleteHead();
    /// `unparsed` are the bytes that were received and aren't complete enough to be parsed.
    bool isOverheadOver(std::size_t unparsed) const { return overhead_.isOver(headerLimit_, unparsed); }

    /// The request without its body.
    Request head() const;
    framework::SteadyTime headReceivedAt() const { return headReceivedAt_; }
    void setBodyBy(framework::Deadline deadline) { bodyBy_ = deadline; }
    framework::Deadline bodyBy() const { return bodyBy_; }
    /// The bytes of body that the last `put` has added.
    std::size_t newBodyBytes() const { return newBodyBytes_; }
    /// Reserves the bytes that the last `put` has added. Returns false if there is no room for them.
    bool reserveBody(const std::shared_ptr<ByteBudget>&);
    /// Null without a body.
    const ByteReservation* reservation() const { return reservation_.get(); }
    /// The part of the request that has arrived lately.
    double recentShare(framework::SteadyTime now) const { return progress_.recentShare(now); }
    /// So many bytes more of the body have to arrive by the deadline.
    void expectBody(std::uint64_t bytes, framework::Deadline by);
    framework::Deadline expectedBodyBy() const { return expectedBodyBy_; }
    bool hasExpectedBody() const { return parser_.get().body().size() >= expectedBodyBytes_; }

    bool keepsAlive() const { return parser_.keep_alive(); }
    /// What a complete request consists of. Call each of these once.
    Request release();
    std::unique_ptr<ByteReservation> releaseReservation() { return std::move(reservation_); }

private:
    const std::uint32_t headerLimit_;
    bool hasReportedHead_ = false;
    MessageOverhead overhead_;
    boost::beast::http::request_parser<GrowingBody> parser_;
    std::size_t newBodyBytes_ = 0;
    std::unique_ptr<ByteReservation> reservation_;
    RecentProgress progress_;
    std::uint64_t expectedBodyBytes_ = 0;
    framework::Deadline expectedBodyBy_;
    framework::SteadyTime headReceivedAt_ {};
    framework::Deadline bodyBy_ { framework::SteadyTime::max() };
};

} // namespace lagoon::http
