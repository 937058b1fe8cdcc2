#pragma once

#include "framework/icontrolexecutor.h"
#include "framework/metrics.h"
#include "framework/types/error.h"
#include "wire/ilink.h"

#include <functional>
#include <memory>

namespace lagoon::direct {

/// Links with one thread of their own: a direct process has a part of one processor.
std::shared_ptr<wire::ILinkTransport> makeLinkTransport(std::shared_ptr<framework::Metrics>);

/// What the owner of links does on the control thread.
struct LinkEvents {
    std::function<void(const std::shared_ptr<wire::ILink>&, const wire::Message&)> didReceive;
    std::function<void(const std::shared_ptr<wire::ILink>&, const framework::Error&)> didClose;
};

/// Handlers that carry the events to the control thread. Guards against an owner that has gone by the time they arrive
/// there: nothing is called once `alive` has expired.
wire::LinkHandlers onControlThread(framework::IControlExecutor&, std::weak_ptr<int> alive, LinkEvents);

} // namespace lagoon::direct
