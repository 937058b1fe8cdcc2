#include "policy/retrybudget.h"

#include <algorithm>

namespace lagoon::policy {

RetryBudget::RetryBudget(double share, double max)
    : share_(share)
    , max_(max)
    , balance_(max)
{
}

void RetryBudget::earn() { balance_ = std::min(max_, balance_ + share_); }

bool RetryBudget::spend()
{
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

void RetryBudget::setMax(double max)
{
    max_ = max;
    balance_ = std::min(balance_, max_);
}

} // namespace lagoon::policy
