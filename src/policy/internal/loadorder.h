#pragma once

#include "policy/iloadorder.h"

namespace lagoon::policy {

/// Starts the load with the greatest value per second of a store slot first. The value grows with the priority and with
/// the number of waiting requests, and is divided by the expected load time. It is up to twice as high for the nearest
/// deadlines, and low if the earliest deadline can't be met. It grows without bound while the load waits, so that no
/// load starves.
class ValueLoadOrder final : public ILoadOrder {
public:
    std::optional<std::size_t> next(const std::vector<PendingLoad>&, framework::SteadyTime now) const override;
};

} // namespace lagoon::policy
