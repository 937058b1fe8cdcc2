#include "router/internal/targets.h"

namespace lagoon::router {

wire::fb::TargetT toWire(const callers::RequestTarget& target)
{
    wire::fb::TargetT wired;
    wired.model = target.model.value();
    wired.adapter = target.adapter.value();
    wired.service = target.service.value();
    return wired;
}

callers::RequestTarget fromWire(const wire::fb::TargetT& wired)
{
    callers::RequestTarget target;
    target.model = framework::ModelName(wired.model);
    target.adapter = framework::AdapterName(wired.adapter);
    target.service = framework::ServiceName(wired.service);
    return target;
}

} // namespace lagoon::router
