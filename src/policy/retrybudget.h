#pragma once

namespace lagoon::policy {

/// Bounds retries to a share of the requests, so that they never multiply an overload: each request earns `share` of
/// a retry, up to `most`; each retry spends one.
class RetryBudget {
public:
    RetryBudget(double share, double most);
    void earn();
    /// False: there is no retry left; refuse instead.
    [[nodiscard]] bool spend();
    /// From now on no more than this may be saved up.
    void setMost(double most);
    double left() const { return left_; }

private:
    double share_;
    double most_;
    double left_;
};

} // namespace lagoon::policy
