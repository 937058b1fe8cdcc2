#pragma once

namespace lagoon::policy {

/// Bounds retries to a share of the requests, so that they never multiply an overload: each request earns `share` of
/// a retry, up to `max`; each retry spends one.
class RetryBudget {
public:
    RetryBudget(double share, double max);
    void earn();
    /// False: there is no retry left; refuse instead.
    [[nodiscard]] bool spend();
    /// From now on no more than this may be saved up.
    void setMax(double max);
    double balance() const { return balance_; }

private:
    double share_;
    double max_;
    double balance_;
};

} // namespace lagoon::policy
