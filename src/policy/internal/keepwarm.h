#pragma once

#include "policy/ikeepwarm.h"

namespace lagoon::policy {

/// Solves a ski rental problem for each replica: of all keep-warm times, it takes the one that would have cost least
/// over the replica's idle gaps so far. A replica without gaps stays loaded until its idling has cost as much as the
/// cold start that it avoids. Both costs are counted in seconds of an idle accelerator.
class SkiRentalKeepWarm final : public IKeepWarm {
public:
    /// `coldStartWeight` is the cost of one second of cold start in seconds of an idle accelerator.
    explicit SkiRentalKeepWarm(double coldStartWeight);
    framework::Deadline keepUntil(const LoadedReplica&, framework::MebiBytes accelerator) const override;
    /// Evicts the replicas with the lowest expected reload cost per MiB first. That cost is the load time multiplied by
    /// the rate of use.
    std::vector<std::size_t> victims(
        const std::vector<LoadedReplica>&, framework::MebiBytes needed, framework::SteadyTime now) const override;

private:
    double coldStartWeight_;
};

} // namespace lagoon::policy
