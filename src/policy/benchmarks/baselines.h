#pragma once

#include "policy/ikeepwarm.h"
#include "policy/iloadorder.h"
#include "policy/iloadplacement.h"

/// What the policies are measured against.
namespace lagoon::policy::benchmarks {

/// The same idle time for all; the least recently used goes first when memory is short.
class FixedTimeoutKeepWarm final : public IKeepWarm {
public:
    explicit FixedTimeoutKeepWarm(framework::Milliseconds timeout);
    framework::Deadline keepUntil(const LoadedReplica&, framework::MebiBytes accelerator) const override;
    std::vector<std::size_t> victims(
        const std::vector<LoadedReplica>&, framework::MebiBytes needed, framework::SteadyTime now) const override;

private:
    framework::Milliseconds timeout_;
};

/// Any upstream that has the memory free, in turn; else any that can make room, in turn.
class RoundRobinLoadPlacement final : public ILoadPlacement {
public:
    std::optional<std::size_t> choose(const std::vector<LoadBid>&) const override;

private:
    mutable std::size_t next_ = 0;
};

/// First come, first served.
class FifoLoadOrder final : public ILoadOrder {
public:
    std::optional<std::size_t> next(const std::vector<PendingLoad>&, framework::SteadyTime now) const override;
};

} // namespace lagoon::policy::benchmarks
