#pragma once

#include "framework/types/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace lagoon::soak {

/// How one request ended for its caller.
enum class EndReason : std::uint8_t {
    NotConnected, ///< nothing was sent
    Answered, ///< a whole answer
    Closed, ///< the connection ended before that
    TimedOut ///< the caller's patience was over before that
};

/// What became of one request, as its caller sees it.
struct Outcome {
    EndReason endReason = EndReason::NotConnected;
    /// 0 without an answer's head.
    int status = 0;
    std::string body;
    framework::SteadyTime sentAt {};
    framework::SteadyTime endedAt {};

    bool isComplete() const { return endReason == EndReason::Answered; }
};

/// A caller that keeps its connection for the next request until the connection's end, or until an answer says that it
/// ends.
class Caller {
public:
    /// The caller gives up an answer that isn't whole after so long.
    explicit Caller(framework::Milliseconds timeout);

    bool isConnected() const { return stream_.has_value(); }
    bool connect(const std::string& endpoint);
    void close() { stream_.reset(); }
    /// Sends the text on its connection and reads the answer.
    Outcome call(const std::string& text);

private:
    /// Runs what was begun on the connection to its end.
    void runToCompletion();

    framework::Milliseconds timeout_;
    boost::asio::io_context context_;
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

} // namespace lagoon::soak
