#include "policy/retrybudget.h"

#include <algorithm>

namespace lagoon::policy {

RetryBudget::RetryBudget(double share, double most)
    : share_(share)
    , most_(most)
    , left_(most)
{
}

void RetryBudget::earn() { left_ = std::min(most_, left_ + share_); }

bool RetryBudget::spend()
{
    if (left_ < 1)
        return false;
    left_ -= 1;
    return true;
}

void RetryBudget::setMost(double most)
{
    most_ = most;
    left_ = std::min(left_, most_);
}

} // namespace lagoon::policy
