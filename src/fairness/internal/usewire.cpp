#include "fairness/usewire.h"

#include <cmath>
#include <utility>

namespace lagoon::fairness {

namespace {

/// All routers together don't use as much; larger amounts come from a faulty sender.
constexpr double maxUse = 1e15;

bool isAmount(double value) { return std::isfinite(value) && value >= 0 && value <= maxUse; }

Use useOf(double served, double missed)
{
    return isAmount(served) && isAmount(missed) ? Use { served, missed } : Use();
}

} // namespace

wire::Message toWire(const SummedUse& sums)
{
    wire::fb::CustomerUseT body;
    body.customers.reserve(sums.use.customers.size());
    for (const auto& [customer, use] : sums.use.customers)
        body.customers.emplace_back(customer.value(), static_cast<float>(use.served), static_cast<float>(use.missed));
    body.rest_served = static_cast<float>(sums.use.rest.served);
    body.rest_missed = static_cast<float>(sums.use.rest.missed);
    body.routers = sums.routers;
    return wire::message(std::move(body));
}

wire::Message toWire(const UseReport& report) { return toWire(SummedUse { report, 1 }); }

SummedUse fromWire(const wire::fb::CustomerUseT& body)
{
    SummedUse sums;
    sums.routers = body.routers;
    sums.use.rest = useOf(body.rest_served, body.rest_missed);
    for (const wire::fb::CustomerCost& one : body.customers) {
        const Use use = useOf(one.served(), one.missed());
        if (use.asked() > 0 && sums.use.customers.size() < maxNamedCustomers)
            sums.use.customers[CustomerKey(one.customer())] = use;
    }
    return sums;
}

} // namespace lagoon::fairness
