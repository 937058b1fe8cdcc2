#include "direct/internal/trafficpermits.h"

#include <utility>

namespace lagoon::direct {

using ratelimits::LimitStatement;
using ratelimits::PermitNumber;
using ratelimits::PermitOrder;
using ratelimits::PermitReply;

TrafficPermits::TrafficPermits(framework::IControlExecutor& control, framework::EventThread& traffic, Target target)
    : control_(control)
    , traffic_(traffic)
    , target_(std::move(target))
{
}

void TrafficPermits::share(const LimitStatement& statement, const framework::Endpoint& server)
{
    control_.post([this, statement, server] { target_().share(statement, server); });
}

void TrafficPermits::ask(const PermitOrder& order, std::function<void(const PermitReply&)> handler)
{
    control_.post([this, order, handler = std::move(handler)]() mutable {
        target_().ask(order, [this, handler = std::move(handler)](const PermitReply& reply) {
            traffic_.post([handler, reply] { handler(reply); });
        });
    });
}

void TrafficPermits::withdraw(const PermitNumber& number)
{
    control_.post([this, number] { target_().withdraw(number); });
}

} // namespace lagoon::direct
