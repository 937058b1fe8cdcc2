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
    Answered, ///< the whole answer was received
    Closed, ///< the connection was closed before the whole answer was received
    TimedOut ///< the caller's timeout passed before the whole answer was received
};

/// The outcome of one request, as its caller sees it.
struct Outcome {
    EndReason endReason = EndReason::NotConnected;
    /// 0 if no header of an answer was received.
    int status = 0;
    std::string body;
    framework::SteadyTime sentAt {};
    framework::SteadyTime endedAt {};

    bool isComplete() const { return endReason == EndReason::Answered; }
};

/// A caller that reuses its connection for further requests until the connection is closed or an answer says that it
/// will be closed.
class Caller {
public:
    /// `timeout`: how long `call` waits for the whole answer.
    explicit Caller(framework::Milliseconds timeout);

    bool isConnected() const { return stream_.has_value(); }
    bool connect(const std::string& endpoint);
    void close() { stream_.reset(); }
    /// Sends the text of a request on the connection and reads the answer.
    Outcome call(const std::string& text);

private:
    /// Blocks until the asynchronous operations on the connection have completed.
    void runToCompletion();

    framework::Milliseconds timeout_;
    boost::asio::io_context context_;
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

} // namespace lagoon::soak
