#pragma once

#include "policy/ireplicachoice.h"

namespace lagoon::policy {

/// Rendezvous hashing by prefix with bounded load: the first replica in the prefix's order whose expected wait isn't
/// out of proportion. Requests without a prefix take the better of two drawn at random, since routers that all took
/// the one that last reported the least would swamp it before the next report.
class BoundedLoadReplicaChoice final : public IReplicaChoice {
public:
    explicit BoundedLoadReplicaChoice(std::uint64_t seed);
    std::optional<std::size_t> choose(
        const std::vector<ReplicaView>&, std::uint64_t prefixHash, framework::SteadyTime now) override;

private:
    std::uint64_t draw();

    std::uint64_t state_;
};

} // namespace lagoon::policy
