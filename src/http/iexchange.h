#pragma once

#include "framework/types/time.h"
#include "http/types/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lagoon::http {

/// A whole request and the way back for its one answer. Belongs to the server's event thread.
///
/// The answer is either `answer`, or `beginAnswer`, pieces and `endAnswer`. An exchange that is dropped without an
/// answer is answered 500, or broken off if its answer has begun to leave. Calls after the caller has gone do nothing.
class IExchange {
public:
    virtual ~IExchange() = default;
    virtual const Request& request() const = 0;
    /// When its last byte was read.
    virtual framework::SteadyTime receivedAt() const = 0;

    /// The whole answer; the framing is added here.
    virtual void answer(ResponseHead, std::string body) = 0;
    /// The head of an answer whose body follows in chunks. Written together with the first piece.
    virtual void beginAnswer(ResponseHead) = 0;
    virtual void sendPiece(std::string_view) = 0;
    virtual void endAnswer() = 0;
    /// The answer that was begun can't be completed: the connection ends without the last chunk, so that the caller
    /// sees that the answer isn't whole.
    virtual void breakOff() = 0;

    /// Whether the caller has closed its connection, even if the event loop hasn't come to that yet. Costs a system
    /// call.
    virtual bool hasCallerDisconnected() const = 0;
    /// Called at most once, if the caller closes or loses its connection before the answer has been handed over.
    virtual void setDisconnectHandler(std::function<void()>) = 0;
    /// Bytes of the answer that the caller hasn't taken yet.
    virtual std::size_t unsentBytes() const = 0;
    /// Called each time all that was handed over has been taken by the socket.
    virtual void setDrainedHandler(std::function<void()>) = 0;
};

/// Answers requests.
class IExchangeHandler {
public:
    virtual ~IExchangeHandler() = default;
    virtual void handle(const std::shared_ptr<IExchange>&) = 0;
};

} // namespace lagoon::http
