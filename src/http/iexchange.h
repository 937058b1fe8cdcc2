#pragma once

#include "framework/types/time.h"
#include "http/types/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lagoon::http {

/// A complete request and the channel for its only answer. Used on the server's event thread.
///
/// The answer consists of either `answer`, or `beginAnswer`, any number of `sendPiece` and `endAnswer`. If the exchange
/// is destroyed without an answer, it is answered with 500, or broken off if a part of its answer was sent. Calls after
/// the caller has disconnected have no effect.
class IExchange {
public:
    virtual ~IExchange() = default;
    virtual const Request& request() const = 0;
    /// The time at which the request's last byte was read.
    virtual framework::SteadyTime receivedAt() const = 0;
    /// The time at which the request's head was complete.
    virtual framework::SteadyTime headReceivedAt() const { return receivedAt(); }
    /// Returns the request's body, which it lacks afterwards.
    virtual std::string takeBody() { return request().body; }

    /// Sends a complete answer. Adds the framing headers.
    virtual void answer(ResponseHead, std::string body) = 0;
    /// Sets the head of an answer whose body follows in pieces. It is sent together with the first piece.
    virtual void beginAnswer(ResponseHead) = 0;
    virtual void sendPiece(std::string_view) = 0;
    virtual void endAnswer() = 0;
    /// Ends a started answer that cannot be completed: the connection is closed without the last chunk, so that the
    /// caller sees that the answer is truncated.
    virtual void breakOff() = 0;

    /// Returns whether the caller has closed its connection, even if the event loop has not handled that yet. This
    /// makes a system call.
    virtual bool hasCallerDisconnected() const = 0;
    /// Sets a handler that is called at most once, if the caller closes or loses its connection before the complete
    /// answer has been passed to this object.
    virtual void setDisconnectHandler(std::function<void()>) = 0;
    /// Bytes of the answer that have not been written to the socket yet.
    virtual std::size_t unsentBytes() const = 0;
    /// Sets a handler that is called each time all pending bytes have been written to the socket.
    virtual void setDrainedHandler(std::function<void()>) = 0;
};

/// What a handler decides on a request whose body hasn't arrived yet.
struct HeadDecision {
    /// The request is refused with this answer, and the rest of it isn't read.
    std::optional<Response> refusal;
    /// When the whole body has to have arrived.
    framework::Deadline bodyBy { framework::SteadyTime::max() };
};

/// Handles the requests of an `ExchangeServer`.
class IExchangeHandler {
public:
    virtual ~IExchangeHandler() = default;
    /// Called before the body of a request is read, unless it arrived with the head.
    virtual HeadDecision checkHead(const Request&) { return {}; }
    virtual void handle(const std::shared_ptr<IExchange>&) = 0;
};

} // namespace lagoon::http
