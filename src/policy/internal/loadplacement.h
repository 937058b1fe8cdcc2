#pragma once

#include "policy/iloadplacement.h"

namespace lagoon::policy {

/// Chooses the bid with the lowest cost in seconds. The cost is the sum of the load itself, the expected reload of the
/// replicas that it evicts, and the running requests that it would slow down. Among bids that are nearly as good as the
/// best, the first in rendezvous order wins, so that a model's loads, and with them its cached checkpoints, concentrate
/// on few upstreams.
class CheapestLoadPlacement final : public ILoadPlacement {
public:
    std::optional<std::size_t> choose(const std::vector<LoadBid>&) const override;
};

} // namespace lagoon::policy
