#pragma once

#include "framework/types/time.h"
#include "quotas/allowance.h"

#include <vector>

namespace lagoon::quotas {

/// What was used of a quota in the last while, in steps of time. Does no I/O and reads no clock.
class RecentUse {
public:
    /// Longer than the time over which operators measure quotas, and that in which a bucket fills before.
    static constexpr framework::Milliseconds retention { 15000 };

    struct Step {
        /// The end of the step.
        framework::SteadyTime at {};
        double amount = 0;
    };

    void add(double amount, framework::SteadyTime at);
    /// Takes back what was used last.
    void takeBack(double amount);
    void expire(framework::SteadyTime now);
    bool isEmpty() const { return steps_.empty(); }
    double sum() const;
    /// In the order of time.
    const std::vector<Step>& steps() const { return steps_; }

private:
    std::vector<Step> steps_;
};

/// Returns the level of a token bucket that had this level `RecentUse::retention` ago, after these uses in any order.
double levelAfter(
    std::vector<RecentUse::Step> uses, double levelBefore, const AllowanceTerms&, framework::SteadyTime now);

} // namespace lagoon::quotas
