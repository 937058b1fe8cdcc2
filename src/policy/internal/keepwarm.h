#pragma once

#include "policy/ikeepwarm.h"

namespace lagoon::policy {

/// Ski rental: an idle replica stays until its idling has cost as much as the cold start that it spares, so that the
/// sum is at most twice that of knowing the next use. Both are counted in seconds of an idle accelerator.
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
