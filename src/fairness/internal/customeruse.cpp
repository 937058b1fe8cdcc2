#include "fairness/types/customeruse.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace lagoon::fairness {

namespace {

/// If less than this is missed, the fractions of single customers say little.
constexpr double minMissed = 0.02;

} // namespace

CustomerKey keyOf(const catalog::CustomerName& name)
{
    return CustomerKey(policy::fnv1a(name.value().data(), name.value().size()));
}

Use& Use::operator+=(const Use& other)
{
    served += other.served;
    missed += other.missed;
    return *this;
}

bool Use::isScarce() const { return missed > minMissed * asked(); }

bool UseReport::isScarce() const
{
    return rest.isScarce()
        || std::any_of(customers.begin(), customers.end(), [](const auto& entry) { return entry.second.isScarce(); });
}

void limitNames(UseReport& report)
{
    if (report.customers.size() <= maxNamedCustomers)
        return;
    std::vector<std::pair<CustomerKey, Use>> all(report.customers.begin(), report.customers.end());
    const auto cut = all.begin() + static_cast<std::ptrdiff_t>(maxNamedCustomers);
    // Equal amounts are ordered by key, so that all routers name the same customers.
    std::nth_element(all.begin(), cut, all.end(), [](const auto& left, const auto& right) {
        return std::make_tuple(-left.second.asked(), left.first) < std::make_tuple(-right.second.asked(), right.first);
    });
    for (auto one = cut; one != all.end(); ++one) {
        report.rest += one->second;
        report.customers.erase(one->first);
    }
}

} // namespace lagoon::fairness
