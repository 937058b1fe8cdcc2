#pragma once

#include "forwarding/wantedplanner.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lagoon::forwarding {

/// What it costs to make room for a model.
struct Room {
    double damage = 0;
    /// Whether requests have to end first.
    bool isInUse = false;
};

/// What callers lose if an engine drops models to make room for another one: 0 for nothing, 1 for the only copy of a
/// rare model.
class RoomDamage {
public:
    /// `work` is of each held model, over all routers. Both must outlive this.
    RoomDamage(const PlannerInput& input, const std::map<framework::ModelName, double>& work)
        : input_(input)
        , work_(work)
    {
    }

    /// Of making room for the model; nothing if there can't be any. `isWaitedFor`: callers wait for it, which is worth
    /// more than a further copy of a busy one.
    std::optional<Room> ofRoom(const EngineFacts&, const catalog::ModelProfile&, bool isWaitedFor) const;

private:
    std::optional<double> of(const EngineFacts&, const framework::ModelName& held, bool isWaitedFor) const;

    const PlannerInput& input_;
    const std::map<framework::ModelName, double>& work_;
};

} // namespace lagoon::forwarding
