#pragma once

#include "catalog/types/customer.h"
#include "framework/types/strongtype.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace lagoon::fairness {

/// A customer, by a hash of its name that is the same in all processes.
using CustomerKey = framework::StrongType<struct CustomerKeyTag, std::uint64_t>;

CustomerKey keyOf(const catalog::CustomerName&);

/// The cost of requests, in tokens.
struct Use {
    double served = 0;
    /// Of requests that were refused for want of room or not served in time.
    double missed = 0;

    double asked() const { return served + missed; }
    /// Whether enough is missed to say that there is too little room.
    bool isScarce() const;
    Use& operator+=(const Use&);
};

/// What customers used in the last seconds.
struct UseReport {
    std::unordered_map<CustomerKey, Use> customers;
    /// Of all customers that aren't named.
    Use rest;

    /// Whether any customer is served too little.
    bool isScarce() const;
    bool isEmpty() const { return customers.empty() && rest.asked() <= 0; }
};

/// The number of customers that a report names.
inline constexpr std::size_t maxNamedCustomers = 64;

/// Keeps the customers that asked for most by name, and adds the others up.
void limitNames(UseReport&);

} // namespace lagoon::fairness
