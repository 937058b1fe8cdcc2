#pragma once

#include "forwarding/demandplanner.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lagoon::forwarding {

/// What it costs to make room for a model.
struct EvictionEstimate {
    double evictionCost = 0;
    /// Whether requests have to end first.
    bool isInUse = false;
};

/// What callers lose if an engine drops models to make room for another one: 0 for nothing, 1 for the only copy of a
/// rare model.
class EvictionCost {
public:
    /// `work` is of each held model, over all routers. Both must outlive this.
    EvictionCost(const PlannerInput& input, const std::map<framework::ModelName, double>& work)
        : input_(input)
        , work_(work)
    {
    }

    /// Of making room for the model; nothing if there can't be any. `hasWaitingRequests`: callers wait for it, which is
    /// worth more than a further copy of a busy one.
    std::optional<EvictionEstimate> estimate(
        const EngineFacts&, const catalog::ModelProfile&, bool hasWaitingRequests) const;

private:
    std::optional<double> costOf(const EngineFacts&, const framework::ModelName& held, bool hasWaitingRequests) const;

    const PlannerInput& input_;
    const std::map<framework::ModelName, double>& work_;
};

} // namespace lagoon::forwarding
