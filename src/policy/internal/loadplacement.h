#pragma once

#include "policy/iloadplacement.h"

namespace lagoon::policy {

/// Takes the bid with the least cost in seconds: the load itself, the expected repeat of the loads it evicts, and the
/// work it would disturb. Bids nearly as good as the best lose to the first of them in rendezvous order, so that a
/// model's loads, and with them its cached checkpoints, gather on few upstreams.
class CheapestLoadPlacement final : public ILoadPlacement {
public:
    std::optional<std::size_t> choose(const std::vector<LoadBid>&) const override;
};

} // namespace lagoon::policy
