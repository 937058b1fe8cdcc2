#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "http/types/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace lagoon::http {

/// The step at which a call failed.
enum class ClientStep : std::uint8_t { Connect, Send, AwaitHead, ReadBody };

std::string_view clientStepText(ClientStep);

struct ClientFailure {
    ClientStep step = ClientStep::Connect;
    /// Whether any byte of the request may have been sent. Only if not is it certain that the request never arrives.
    bool mayHaveArrived = false;
    /// Nothing listens at the endpoint: the process that did has ended.
    bool wasRefused = false;
    /// Human-readable description. Has no bytes of the answer.
    std::string detail;
    /// Bytes of a malformed answer (`AnswerFault::quote`), for the log alone; mostly empty.
    std::string quote = {};

    std::string logText() const;
};

/// Receives the answer to one request. Called on the event thread; `didFinish` or `didFail` is the last call.
class IAnswerSink {
public:
    virtual ~IAnswerSink() = default;
    /// Called when the connection is established, before the request is sent. The request is not sent if the sink
    /// abandons the connection here.
    virtual void willSend() { }
    /// Returns whether this is the answer to the request. Any other answer, such as a duplicate answer to the previous
    /// request, is read to its end and discarded, and the connection waits for the next one.
    virtual bool didReceiveHead(const ResponseHead&) = 0;
    virtual void didReceiveBody(std::string_view) = 0;
    /// The answer is complete, as determined by its length, its last chunk or, without either, the orderly close of the
    /// connection after the whole request was sent.
    virtual void didFinish() = 0;
    virtual void didFail(const ClientFailure&) = 0;
};

struct ClientOptions {
    /// Time limit for establishing a connection.
    framework::Milliseconds connectTimeout { 1000 };
    /// A connection fails if its peer acknowledges neither data nor keep-alive probes for this long.
    framework::Milliseconds unresponsiveTimeout { 3000 };
    /// Whether the endpoint may have a host name. Only for endpoints that an operator states.
    bool resolvesNames = false;
};

/// One connection to a server, based on Boost.Beast's parser and Asio. It replaces cpprest's client: that client
/// resends a POST by itself if a kept-alive connection turns out to be closed, hides both the bytes after an answer and
/// whether a body was complete or truncated by a lost connection, and accepts answers that break HTTP/1.1. Used on one
/// event thread.
///
/// The connection handles one request at a time. After a complete answer it becomes idle and can be reused. It closes
/// instead if either side requested that, if the request was not sent completely when its answer ended, or if bytes
/// followed the answer.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    /// Called on the event thread when the connection has become idle and when it has closed.
    struct Observers {
        std::function<void(const std::shared_ptr<ClientConnection>&)> didBecomeIdle;
        std::function<void(const std::shared_ptr<ClientConnection>&)> didClose;
    };

    static std::shared_ptr<ClientConnection> make(
        boost::asio::io_context&, const framework::Endpoint&, const ClientOptions&, Observers);
    virtual ~ClientConnection() = default;

    /// Sends the request, after connecting if necessary. Adds the framing headers.
    virtual void send(const Request&, std::shared_ptr<IAnswerSink>) = 0;
    /// Returns whether the last request that was sent isn't the first one on this connection. Only then can an answer
    /// belong to an earlier request.
    virtual bool isReused() const = 0;
    /// Closes the connection. The sink is not called any more.
    virtual void abandon() = 0;
    /// Pause and resume reading, which applies backpressure to the server while the caller reads slowly.
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// Returns whether the server has closed the idle connection or sent bytes on it, even if the event loop has not
    /// read that yet. What is sent on such a connection may be lost.
    virtual bool isStale() = 0;
    /// The time at which the connection became idle.
    virtual framework::SteadyTime idleSince() const = 0;
    /// How long the server keeps an idle connection open, or std::nullopt if its answer did not state that.
    virtual std::optional<framework::Milliseconds> keepAliveTimeout() const = 0;
};

} // namespace lagoon::http
