#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "wire/types/message.h"

#include <functional>
#include <memory>

/// Framed TCP links between the system's own processes.
namespace lagoon::wire {

/// One open connection. Thread-safe.
class ILink {
public:
    virtual ~ILink() = default;
    /// Queues the message. A link whose peer reads so slowly that the queue passes its limit is closed instead:
    /// memory stays bounded, and the peer settles its requests over a new link.
    virtual void send(const Message&) = 0;
    /// No handler is called for this link once the running one has ended; `onClosed` isn't either.
    virtual void close() = 0;
    virtual const framework::Endpoint& peer() const = 0;
};

/// What happens on a link. Called on traffic threads, for one link never two at once.
struct LinkHandlers {
    std::function<void(const std::shared_ptr<ILink>&, Message)> onMessage;
    /// The link ended by itself: cut, refused, or a bad frame.
    std::function<void(const std::shared_ptr<ILink>&, const framework::Error&)> onClosed;
};

/// Makes links. The implementation owns the traffic threads.
class ILinkTransport {
public:
    virtual ~ILinkTransport() = default;
    /// Returns at once; what is sent before the connection stands is sent then. A failure comes as `onClosed`.
    virtual std::shared_ptr<ILink> connect(const framework::Endpoint&, LinkHandlers) = 0;
    /// Accepts links on the endpoint (port 0: any free one) and returns the one in use.
    virtual framework::Result<framework::Endpoint> listen(const framework::Endpoint&, LinkHandlers) = 0;
    /// Accepts no more; open links stay.
    virtual void stopListening() = 0;
    /// Closes everything and joins the threads.
    virtual void stop() = 0;
};

} // namespace lagoon::wire
