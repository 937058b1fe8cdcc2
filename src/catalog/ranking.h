#pragma once

#include "catalog/types/configuration.h"

#include <cstdint>

namespace lagoon::catalog {

/// Orders requests by urgency. A customer's priority goes before its route's, and routes' priorities order the requests
/// of customers of the same priority. Without customers the route's priority alone counts.
class Ranking {
public:
    explicit Ranking(const Configuration&);

    /// Returns the rank of a request; 0 is the most urgent. `customer` may be nullptr.
    std::uint32_t rank(const Route&, const Customer* customer) const;

private:
    bool hasCustomers_;
    /// Number of priorities that routes use.
    std::uint32_t routePriorities_ = 1;
};

} // namespace lagoon::catalog
