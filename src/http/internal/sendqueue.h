#pragma once

#include "framework/types/time.h"
#include "http/bytebudget.h"
#include "http/internal/recentprogress.h"

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace lagoon::http {

/// The answers, and parts of answers, that wait to be written to a caller's socket.
class SendQueue {
public:
    /// `reservation`, which may be null, is held until the bytes are written.
    void push(std::string bytes, std::unique_ptr<ByteReservation> reservation, framework::SteadyTime now);
    bool isEmpty() const { return entries_.empty(); }
    /// Bytes of entries that aren't written completely.
    std::size_t bytes() const { return bytes_; }
    boost::asio::const_buffer front() const { return boost::asio::buffer(entries_.front().bytes); }
    /// `bytes` of the first entry have been written so far.
    void didWritePart(std::size_t bytes, framework::SteadyTime now);
    void pop();
    /// Drops what waits, and its reservations. What is being written stays in memory until that has ended.
    void discard();

    /// Returns false if the caller has read less than `bytes` within `timeout`, though there was more to read.
    bool checkProgress(std::size_t bytes, framework::Milliseconds timeout, framework::SteadyTime now);
    /// The bytes that were written lately, as a part of those that wait; at most 1.
    double recentShare(framework::SteadyTime now) const;

private:
    struct Entry {
        std::string bytes;
        std::unique_ptr<ByteReservation> reservation;
    };

    std::deque<Entry> entries_;
    std::size_t bytes_ = 0;
    std::size_t writtenOfFront_ = 0;
    RecentProgress progress_;
    /// Since when the queue hasn't been empty.
    framework::SteadyTime waitsSince_ {};
    framework::Deadline progressBy_;
    std::size_t expectedTotal_ = 0;
};

} // namespace lagoon::http
