#include "direct/internal/links.h"

#include "wire/linktransport.h"

#include <utility>

namespace lagoon::direct {

std::shared_ptr<wire::ILinkTransport> makeLinkTransport(std::shared_ptr<framework::Metrics> metrics)
{
    wire::LinkSettings settings;
    settings.threads = 1;
    return wire::makeTcpLinkTransport(settings, std::move(metrics));
}

wire::LinkHandlers onControlThread(framework::IControlExecutor& control, std::weak_ptr<int> alive, LinkEvents events)
{
    const auto toControl = [&control, alive = std::move(alive)](auto action) {
        control.post([alive, action = std::move(action)] {
            if (!alive.expired())
                action();
        });
    };
    wire::LinkHandlers handlers;
    handlers.onMessage = [toControl, didReceive = std::move(events.didReceive)](
                             const std::shared_ptr<wire::ILink>& link, wire::Message message) {
        toControl([didReceive, link, message = std::make_shared<wire::Message>(std::move(message))] {
            didReceive(link, *message);
        });
    };
    handlers.onClosed
        = [toControl, didClose = std::move(events.didClose)](const std::shared_ptr<wire::ILink>& link,
              const framework::Error& error) { toControl([didClose, link, error] { didClose(link, error); }); };
    return handlers;
}

} // namespace lagoon::direct
