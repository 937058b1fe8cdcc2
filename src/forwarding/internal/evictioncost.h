#pragma once

#include "forwarding/demandplanner.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lagoon::forwarding {

/// The result of evicting models to free memory for another one.
struct EvictionEstimate {
    double evictionCost = 0;
    /// Whether requests have to end before the models can be evicted.
    bool isInUse = false;
};

/// Estimates what callers lose if an engine evicts models to load another one: 0 for nothing, 1 for the only copy of a
/// rare model.
class EvictionCost {
public:
    /// `work` is the work of each loaded model over all routers. Both arguments must outlive this object.
    EvictionCost(const PlannerInput& input, const std::map<framework::ModelName, double>& work)
        : input_(input)
        , work_(work)
    {
    }

    /// Estimates the cost of freeing enough memory for the model; std::nullopt if that is impossible.
    /// `hasWaitingRequests` states that requests wait for the model, which justifies more evictions than a further copy
    /// of a busy model.
    std::optional<EvictionEstimate> estimate(
        const EngineFacts&, const catalog::ModelProfile&, bool hasWaitingRequests) const;

private:
    std::optional<double> costOf(const EngineFacts&, const framework::ModelName& held, bool hasWaitingRequests) const;

    const PlannerInput& input_;
    const std::map<framework::ModelName, double>& work_;
};

} // namespace lagoon::forwarding
