#include "catalog/ranking.h"

#include <algorithm>

namespace lagoon::catalog {

namespace {

/// Ranks have to stay small numbers, whatever a configuration holds.
constexpr std::uint32_t maxPriority = 255;

} // namespace

Ranking::Ranking(const Configuration& configuration)
    : hasCustomers_(configuration.customers.has_value())
{
    for (const Route& route : configuration.routes)
        routePriorities_ = std::max(routePriorities_, std::min(route.priority, maxPriority) + 1);
}

std::uint32_t Ranking::rank(const Route& route, const Customer* customer) const
{
    if (!hasCustomers_)
        return route.priority;
    const std::uint32_t ofRoute = std::min(route.priority, maxPriority);
    const std::uint32_t ofCustomer
        = customer && customer->priority ? std::min(*customer->priority, maxPriority) : ofRoute;
    return ofCustomer * routePriorities_ + ofRoute;
}

} // namespace lagoon::catalog
