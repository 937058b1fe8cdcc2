#pragma once

#include "catalog/types/units.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace lagoon::catalog {

/// A model, or one of its adapters.
struct ModelTarget {
    framework::ModelName model;
    /// Empty for the model itself.
    framework::AdapterName adapter;

    friend auto operator<=>(const ModelTarget&, const ModelTarget&) = default;
};

/// One router's demand for a model or adapter at one engine.
struct TargetDemand {
    ModelTarget target;
    /// Requests that wait until the target is loaded there.
    std::uint32_t waiting = 0;
    /// Earliest deadline of the waiting requests.
    framework::Deadline earliest;
    /// This router's requests for the target that are in progress there.
    std::uint32_t inFlight = 0;
    /// Fraction of one engine's time that this router's requests for the model take, on whichever engines they run.
    double work = 0;
    /// Position of the engine in the model's order of engines, from 0.
    std::uint32_t rank = 0;
    /// Number of engines that have the model loaded now.
    std::uint32_t holders = 0;
    /// The model should be loaded although no request waits for it, since no engine has its weights cached.
    bool isPrefetch = false;
    /// The model should be loaded although no request waits for it, since more engines should have it.
    bool isCopy = false;
    /// Highest priority of the waiting requests: 0 is the lowest, 9 the highest.
    std::uint8_t priority = 0;

    /// Whether the engine should load the target. Otherwise the entry only reports how much the target is used.
    bool isLoad() const { return waiting > 0 || isPrefetch || isCopy; }
};

using DemandList = std::vector<TargetDemand>;

} // namespace lagoon::catalog
