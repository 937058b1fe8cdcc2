#pragma once

#include "policy/ireplicachoice.h"

namespace lagoon::policy {

/// Rendezvous hashing by prefix with bounded load: takes the first replica in the prefix's rendezvous order whose
/// expected wait is within a bound. For requests without a prefix it takes the better of two replicas drawn at random:
/// if all routers took the replica that last reported the least load, they would overload it before its next report.
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
