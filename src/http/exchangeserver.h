#pragma once

#include "framework/eventthread.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "http/bytebudget.h"
#include "http/iexchange.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lagoon::http {

/// Limits for the size of requests and the time that callers have to send them.
struct ExchangeLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    /// Time limit from the first byte of a request to the end of its headers. A slower request is refused with 408.
    framework::Milliseconds headerTimeout { 3000 };
    /// How long a connection without a request is kept open.
    framework::Milliseconds idleTimeout { 15000 };
    /// The time in which each `bodyProgressBytes` of an unfinished body have to arrive. A slower one is refused with
    /// 408.
    framework::Milliseconds bodyProgressTimeout { 30000 };
    std::uint64_t bodyProgressBytes = 30 * 1024;
    /// The time in which a caller has to read each `answerProgressBytes` of its answers. The connection of a slower one
    /// is reset.
    framework::Milliseconds answerProgressTimeout { 60000 };
    std::uint64_t answerProgressBytes = 60 * 1024;
};

/// Limits of ports whose requests have no bodies.
inline ExchangeLimits limitsWithoutBodies()
{
    ExchangeLimits limits;
    limits.bodyBytes = 1024;
    return limits;
}

/// A request that the server refused itself, without reading the whole of it.
struct UnreadRefusal {
    unsigned status = 0;
    std::string cause;
    framework::Endpoint caller;
};

/// Forms the answers to requests that the server refuses itself. Without one, these have a status only.
class IRefusalWriter {
public:
    virtual ~IRefusalWriter() = default;
    virtual Response write(const UnreadRefusal&) = 0;
};

/// Answers that the server has dropped, since their caller reads them too slowly.
struct DroppedAnswers {
    std::size_t bytes = 0;
    std::string cause;
    framework::Endpoint caller;
};

/// An HTTP/1.1 server on one event thread, based on Boost.Beast's parser and Asio. It replaces cpprest's listener where
/// requests are forwarded directly, since that listener does not detect a disconnect before the first byte of the
/// answer, accepts headers and bodies of any size, and does not show on which connection an answer is sent.
///
/// The server itself refuses requests that never reach the handler: with 400 if they are malformed or ambiguously
/// framed, with 408, 413 or 431 if they exceed a limit, and with 503 if their bodies don't fit in the budget. If
/// another unfinished body makes less progress for the bytes that it holds, that one is refused instead.
class ExchangeServer {
public:
    ExchangeServer(framework::EventThread&, IExchangeHandler&);
    ~ExchangeServer();
    ExchangeServer(const ExchangeServer&) = delete;
    ExchangeServer& operator=(const ExchangeServer&) = delete;

    /// Listens on the endpoint and returns the one in use; port 0 selects any free port. Call this on the event thread,
    /// or before this server has listened. May be called again after an error.
    framework::Result<framework::Endpoint> listen(const framework::Endpoint&);
    /// Applies to requests that start from now on. This and all functions below must be called on the event thread.
    void setLimits(const ExchangeLimits&);
    /// Sets the budget that request bodies and answers are held in, and the head with which requests are refused whose
    /// bodies don't fit in. Initially there is one of 64 MiB for this server. Call this before `listen`.
    void setBudget(std::shared_ptr<ByteBudget>, const ResponseHead& refusal);
    /// Sets what is called for each request that this server refuses itself. Call this before `listen`.
    void setRefusalHandler(std::function<void(const UnreadRefusal&)>);
    /// Call this before `listen`. The writer has to outlive the server.
    void setRefusalWriter(IRefusalWriter&);
    /// Sets what is called when unread answers are dropped. Call this before `listen`.
    void setDropHandler(std::function<void(const DroppedAnswers&)>);
    /// Lets the budget reclaim unread answers of this server, also of requests in progress: those that are read slowest
    /// are dropped first.
    void reclaimUnreadAnswers(ByteBudget&);
    /// Above this number of connections, the one that is needed least is closed for each further one: one that has been
    /// answered or is idle, else the one whose request makes the least progress, which is refused like one for whose
    /// body there is no memory. If all are needed for answers, the further one is closed.
    void setMaxConnections(std::size_t);
    /// From now on, each answer announces that its connection is closed, and closes it.
    void beginDraining();
    /// Accepts no further connections. Those that exist, also in the listening queue, stay open.
    void stopAccepting();
    /// Stops accepting, and closes the connections without a request in progress: at once, or if a request is likely to
    /// be on its way, a second after the connection was accepted or its last answer ended.
    void closeIdle();
    /// Refuses all partially received requests with this head, and stops reading them.
    void refuseIncomplete(const ResponseHead&);
    /// Closes all connections. The handlers of requests in progress are notified of the disconnect.
    void closeAll();
    /// The number of connections with a request in progress or an answer that has not been sent completely, or that
    /// `closeIdle` will close.
    std::size_t busyConnections() const;
    std::size_t connections() const;
    /// The number of connections whose answers have not been written to their sockets completely.
    std::size_t connectionsWithUnsentAnswers() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::http
