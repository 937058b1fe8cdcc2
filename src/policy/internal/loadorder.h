#pragma once

#include "policy/iloadorder.h"

namespace lagoon::policy {

/// Greatest value per second of the store's place first: priority and callers waiting over the expected load time, up
/// to twice as much for the nearest deadlines, little if the earliest can't be met. Waiting raises the value without
/// bound, so nothing starves.
class ValueLoadOrder final : public ILoadOrder {
public:
    std::optional<std::size_t> next(const std::vector<PendingLoad>&, framework::SteadyTime now) const override;
};

} // namespace lagoon::policy
