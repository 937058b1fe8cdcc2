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

/// Where a call ended without a whole answer.
enum class ClientStep : std::uint8_t { Connect, Send, AwaitHead, ReadBody };

std::string_view clientStepText(ClientStep);

struct ClientFailure {
    ClientStep step = ClientStep::Connect;
    /// Whether any byte of the request may have left. Only without that is it sure that it never arrives.
    bool mayHaveArrived = false;
    /// For people.
    std::string detail;
};

/// What becomes of one request. Called on the event thread; `didFinish` or `didFail` is the last call.
class IAnswerSink {
public:
    virtual ~IAnswerSink() = default;
    /// The connection stands and the request is about to leave. It doesn't if the sink abandons the connection here.
    virtual void willSend() { }
    /// Returns whether this is the answer to the request. One that isn't, such as a second answer to the request
    /// before, is read to its end and dropped, and the next is waited for.
    virtual bool didReceiveHead(const ResponseHead&) = 0;
    virtual void didReceiveBody(std::string_view) = 0;
    /// The answer is whole: by its length, its last chunk or, without either, by the orderly end of the connection.
    virtual void didFinish() = 0;
    virtual void didFail(const ClientFailure&) = 0;
};

struct ClientOptions {
    /// Longest wait for a connection to stand.
    framework::Milliseconds connectTimeout { 1000 };
    /// A peer from which the network brings no sign of life for so long is given up.
    framework::Milliseconds unresponsiveTimeout { 3000 };
};

/// One connection to a server, by Boost.Beast's parser over Asio. In place of cpprest's client where requests are
/// passed on: that one sends a POST again by itself when a kept connection turns out to be closed, and hides what
/// follows an answer and whether a body ended by itself or by the connection's loss. Belongs to one event thread.
///
/// One request at a time. After a whole answer it is idle and may take the next, unless either side said otherwise, the
/// request wasn't wholly sent when its answer ended, or bytes followed the answer; then it closes.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    /// Called when it has become idle, and when it has closed, each on the event thread.
    struct Observers {
        std::function<void(const std::shared_ptr<ClientConnection>&)> didBecomeIdle;
        std::function<void(const std::shared_ptr<ClientConnection>&)> didClose;
    };

    static std::shared_ptr<ClientConnection> make(
        boost::asio::io_context&, const framework::Endpoint&, const ClientOptions&, Observers);
    virtual ~ClientConnection() = default;

    /// Connects first if need be. The framing is added here.
    virtual void send(const Request&, std::shared_ptr<IAnswerSink>) = 0;
    /// Closes; the sink hears nothing more.
    virtual void abandon() = 0;
    /// Reads no more for now, so that a caller that reads slowly slows its server, and goes on.
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// Since when it has been idle.
    virtual framework::SteadyTime idleSince() const = 0;
    /// How long the server said that it keeps an idle connection.
    virtual std::optional<framework::Milliseconds> keepAliveTimeout() const = 0;
};

} // namespace lagoon::http
