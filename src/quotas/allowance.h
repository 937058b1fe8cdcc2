#pragma once

#include "framework/types/time.h"

#include <algorithm>
#include <optional>

namespace lagoon::quotas {

/// One grantor's part of a customer's quota, in the quota's unit.
struct AllowanceTerms {
    double perSecond = 0;
    /// Most that adds up while nothing is used.
    double burst = 0;
    /// Most that may be used in advance, so that requests fit that are larger than the burst.
    double tolerance = 0;
    /// A full bucket also grants requests that are larger than burst and tolerance together. At most one grantor may.
    bool grantsOversized = false;

    /// The same quota for a part of the routers.
    AllowanceTerms scaled(double share) const;
};

/// A token bucket for requests of different costs, whose terms may change with each call. Does no I/O and reads no
/// clock. Begins empty.
class Allowance {
public:
    /// Adds what has come in since the last call.
    void refill(const AllowanceTerms&, framework::SteadyTime now);
    /// Returns false if the cost isn't covered.
    [[nodiscard]] bool draw(double cost);
    /// Uses the amount even if it isn't covered.
    void charge(double cost) { level_ -= cost; }
    /// Sets the level as of the last refill, which may be negative.
    void setLevel(double level) { level_ = std::min(terms_.burst, level); }
    /// The next request is granted if the burst covers it, so that a customer that asks for little isn't refused
    /// because its grantor doesn't know how little.
    void allowExceedingOnce() { mayExceedOnce_ = true; }
    /// Adds an amount, up to the burst.
    void credit(double amount);
    /// Returns when a denied request of this cost may come back. Those that are denied in succession are told different
    /// times, since what comes in covers only one after the other.
    framework::Milliseconds deny(double cost, framework::SteadyTime now);
    double level() const { return level_; }

private:
    bool isCovered(double cost) const;
    /// The level at which a request of this cost is granted.
    double neededLevel(double cost) const;

    AllowanceTerms terms_;
    double level_ = 0;
    bool mayExceedOnce_ = false;
    std::optional<framework::SteadyTime> refilledAt_;
    /// Until then, what comes in is announced to requests that were denied.
    framework::Deadline announcedUntil_;
};

} // namespace lagoon::quotas
