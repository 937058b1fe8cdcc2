#pragma once

#include "policy/ikeepwarm.h"
#include "policy/iloadorder.h"
#include "policy/iloadplacement.h"

/// Baselines that the policies are compared with.
namespace lagoon::policy::benchmarks {

/// Keeps all replicas for the same idle time and evicts the least recently used first when memory is short.
class FixedTimeoutKeepWarm final : public IKeepWarm {
public:
    explicit FixedTimeoutKeepWarm(framework::Milliseconds timeout);
    framework::Deadline keepUntil(const LoadedReplica&, framework::MebiBytes accelerator) const override;
    std::vector<std::size_t> victims(
        const std::vector<LoadedReplica>&, framework::MebiBytes needed, framework::SteadyTime now) const override;

private:
    framework::Milliseconds timeout_;
};

/// Takes the upstreams with enough free memory in turn, or if there are none, the upstreams that can evict replicas,
/// also in turn.
class RoundRobinLoadPlacement final : public ILoadPlacement {
public:
    std::optional<std::size_t> choose(const std::vector<LoadBid>&) const override;

private:
    mutable std::size_t next_ = 0;
};

/// Starts loads in the order of arrival.
class FifoLoadOrder final : public ILoadOrder {
public:
    std::optional<std::size_t> next(const std::vector<PendingLoad>&, framework::SteadyTime now) const override;
};

} // namespace lagoon::policy::benchmarks
