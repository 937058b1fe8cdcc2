#pragma once

#include "policy/iloadorder.h"

namespace lagoon::policy {

/// Least slack first, scaled by those who wait for the load and shifted by their priority. Waiting lowers the
/// value without bound, so nothing starves. A load that can't end before its deadline goes after those that can.
class UrgencyLoadOrder final : public ILoadOrder {
public:
    std::optional<std::size_t> next(const std::vector<PendingLoad>&, framework::SteadyTime now) const override;
};

} // namespace lagoon::policy
