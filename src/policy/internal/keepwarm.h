#pragma once

#include "policy/ikeepwarm.h"

namespace lagoon::policy {

/// Ski rental over what is known of the replica's use: of all times to keep it, the one that would have cost least over
/// its idle gaps so far. Without any it stays no longer than its idling costs as much as the cold start it spares. Both
/// are counted in seconds of an idle accelerator.
class SkiRentalKeepWarm final : public IKeepWarm {
public:
    /// What a second of cold start is worth in seconds of an idle accelerator.
    explicit SkiRentalKeepWarm(double coldStartWeight);
    framework::Deadline keepUntil(const LoadedReplica&, framework::MebiBytes accelerator) const override;
    /// Takes what is least missed per MiB first: load time times rate of use.
    std::vector<std::size_t> victims(
        const std::vector<LoadedReplica>&, framework::MebiBytes needed, framework::SteadyTime now) const override;

private:
    double coldStartWeight_;
};

} // namespace lagoon::policy
