#pragma once

namespace lagoon::policy {

/// Limits retries to a share of the requests, so that retries never multiply an overload. Each request adds `share` of
/// a retry to the budget, which holds at most `max` retries; each retry takes one from it.
class RetryBudget {
public:
    RetryBudget(double share, double max);
    void earn();
    /// Returns false if the budget is exhausted; the request has to be refused then.
    [[nodiscard]] bool spend();
    /// Sets what each later request adds. The balance stays, so that a change of the settings allows no further
    /// retries.
    void setShare(double share) { share_ = share; }
    /// Sets the maximum balance, which also cuts the present balance.
    void setMax(double max);
    double balance() const { return balance_; }

private:
    double share_;
    double max_;
    double balance_;
};

} // namespace lagoon::policy
