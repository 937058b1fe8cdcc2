#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "wire/types/message.h"

#include <functional>
#include <memory>

/// Framed TCP links between the processes of this system.
namespace lagoon::wire {

/// One open connection. Thread-safe.
class ILink {
public:
    virtual ~ILink() = default;
    /// Queues the message. If the peer reads so slowly that the queue exceeds its limit, the link is closed instead:
    /// this bounds the memory, and the peer resolves its requests over a new link.
    virtual void send(const Message&) = 0;
    /// Closes the link. After a handler that is currently running, none is called any more, including `onClosed`.
    virtual void close() = 0;
    virtual const framework::Endpoint& peer() const = 0;
};

/// Handlers for the events of a link. Called on the transport's threads, and never concurrently for the same link.
struct LinkHandlers {
    std::function<void(const std::shared_ptr<ILink>&, Message)> onMessage;
    /// Called when the link has failed: its connection was refused or lost, or it received an invalid frame.
    std::function<void(const std::shared_ptr<ILink>&, const framework::Error&)> onClosed;
};

/// Creates links. The implementation owns the threads that their handlers run on.
class ILinkTransport {
public:
    virtual ~ILinkTransport() = default;
    /// Returns without blocking. Messages are queued until the connection is established. Failures are reported by
    /// `onClosed`.
    virtual std::shared_ptr<ILink> connect(const framework::Endpoint&, LinkHandlers) = 0;
    /// Accepts links on the endpoint and returns the one in use; port 0 selects any free port.
    virtual framework::Result<framework::Endpoint> listen(const framework::Endpoint&, LinkHandlers) = 0;
    /// Stops accepting links. Open links are not affected.
    virtual void stopListening() = 0;
    /// Stops all links and joins the threads.
    virtual void stop() = 0;
};

} // namespace lagoon::wire
