#include "direct/internal/trafficquotas.h"

#include <utility>

namespace lagoon::direct {

using quotas::DrawNumber;
using quotas::DrawOutcome;
using quotas::DrawReply;
using quotas::QuotaDraw;

TrafficQuotas::TrafficQuotas(framework::IControlExecutor& control, framework::EventThread& traffic, Target target)
    : control_(control)
    , traffic_(traffic)
    , target_(std::move(target))
{
}

DrawNumber TrafficQuotas::draw(const QuotaDraw& draw, std::function<void(const DrawReply&)> handler)
{
    const DrawNumber number(++draws_);
    handlers_[number] = std::move(handler);
    control_.post([this, number, draw] {
        target_().draw(number, draw, [this, number, draw](const DrawReply& reply) {
            traffic_.post([this, number, draw, reply] {
                if (handlers_.contains(number))
                    didReply(number, reply);
                else if (reply.outcome == DrawOutcome::Granted)
                    giveBack(draw);
            });
        });
    });
    return number;
}

void TrafficQuotas::didReply(const DrawNumber& number, const DrawReply& reply)
{
    const auto handler = handlers_.extract(number);
    handler.mapped()(reply);
}

void TrafficQuotas::withdraw(const DrawNumber& number)
{
    handlers_.erase(number);
    control_.post([this, number] { target_().withdraw(number); });
}

void TrafficQuotas::giveBack(const QuotaDraw& draw)
{
    control_.post([this, draw] { target_().giveBack(draw); });
}

void TrafficQuotas::charge(const QuotaDraw& draw)
{
    control_.post([this, draw] { target_().charge(draw); });
}

} // namespace lagoon::direct
