#include "direct/internal/trafficorigins.h"

#include <utility>

namespace lagoon::direct {

using streams::AttemptKey;
using streams::DispatchRecord;
using streams::OriginAnswer;

TrafficOrigins::TrafficOrigins(framework::IControlExecutor& control, framework::EventThread& traffic, Target target)
    : control_(control)
    , traffic_(traffic)
    , target_(std::move(target))
{
}

void TrafficOrigins::record(const DispatchRecord& record)
{
    control_.post([this, record] { target_().record(record); });
}

void TrafficOrigins::retract(const DispatchRecord& record, std::function<void(bool)> handler)
{
    control_.post([this, record, handler = std::move(handler)]() mutable {
        target_().retract(record, [this, handler = std::move(handler)](bool isConfirmed) {
            traffic_.post([handler, isConfirmed] { handler(isConfirmed); });
        });
    });
}

void TrafficOrigins::find(const AttemptKey& attempt, std::function<void(const OriginAnswer&)> handler)
{
    control_.post([this, attempt, handler = std::move(handler)]() mutable {
        target_().find(attempt, [this, handler = std::move(handler)](const OriginAnswer& answer) {
            traffic_.post([handler, answer] { handler(answer); });
        });
    });
}

} // namespace lagoon::direct
