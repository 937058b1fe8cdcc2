#pragma once

#include "framework/eventthread.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "http/iexchange.h"

#include <cstdint>
#include <memory>

namespace lagoon::http {

/// What a caller may send, and how long it may take.
struct ExchangeLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    /// From a request's first byte to the end of its headers; past it 408.
    framework::Milliseconds headerTimeout { 3000 };
    /// A connection without a request; past it the connection is closed.
    framework::Milliseconds idleTimeout { 15000 };
};

/// An HTTP/1.1 server on one event thread, by Boost.Beast's parser over Asio. In place of cpprest's listener where
/// requests are passed straight on, since that one doesn't notice a caller that has left before the answer's first
/// byte, takes headers and bodies of any size, and can't tell which connection an answer leaves on.
///
/// It answers by itself what never reaches the handler: 400 for what isn't proper HTTP or has two framings, 408, 413
/// and 431 for what passes the limits.
class ExchangeServer {
public:
    ExchangeServer(framework::EventThread&, IExchangeHandler&);
    ~ExchangeServer();
    ExchangeServer(const ExchangeServer&) = delete;
    ExchangeServer& operator=(const ExchangeServer&) = delete;

    /// Before anything else runs on the thread, or on it. Port 0 takes any; returns the endpoint in use.
    framework::Result<framework::Endpoint> listen(const framework::Endpoint&);
    /// The rest belongs to the event thread. Limits hold for requests that begin from now on.
    void setLimits(const ExchangeLimits&);
    /// From now on each answer ends its connection and says so.
    void beginDraining();
    /// Accepts no more, and closes the connections that have no request under way.
    void closeIdle();
    /// Answers the requests of which only a part has come with this head, and reads no more of them.
    void refuseIncomplete(const ResponseHead&);
    /// Closes all connections, also those with a request under way, whose handler hears that its caller has gone.
    void closeAll();
    /// Connections whose request isn't wholly answered yet, or whose last answer is still on its way.
    std::size_t busyConnections() const;
    std::size_t connections() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::http
