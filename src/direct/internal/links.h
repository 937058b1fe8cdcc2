#pragma once

#include "framework/icontrolexecutor.h"
#include "framework/metrics.h"
#include "framework/types/error.h"
#include "wire/ilink.h"

#include <functional>
#include <memory>

namespace lagoon::direct {

/// Makes a link transport with a single thread, since a direct process has only a fraction of one processor.
std::shared_ptr<wire::ILinkTransport> makeLinkTransport(std::shared_ptr<framework::Metrics>);

/// Callbacks of the owner of links; they run on the control thread.
struct LinkEvents {
    std::function<void(const std::shared_ptr<wire::ILink>&, const wire::Message&)> didReceive;
    std::function<void(const std::shared_ptr<wire::ILink>&, const framework::Error&)> didClose;
};

/// Makes link handlers that forward the events to the control thread. Prevents calls to a destroyed owner: no callback
/// runs once `alive` has expired.
wire::LinkHandlers onControlThread(framework::IControlExecutor&, std::weak_ptr<int> alive, LinkEvents);

} // namespace lagoon::direct
