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

/// What one router's callers want of a model or adapter at one engine.
struct TargetDemand {
    ModelTarget target;
    /// Requests that wait for it to be loaded there.
    std::uint32_t waiting = 0;
    /// Of those that wait.
    framework::Deadline earliest;
    /// This router's requests for it that are under way there.
    std::uint32_t inFlight = 0;
    /// Part of one engine's time that this router's requests for the model take, wherever they run.
    double work = 0;
    /// The engine's place in the model's order of engines, from 0.
    std::uint32_t rank = 0;
    /// Engines that hold the model now.
    std::uint32_t holders = 0;
    /// Nobody waits, but no engine has the weights at hand.
    bool isPrefetch = false;
    /// Nobody waits, but more engines should hold it.
    bool isCopy = false;
    /// The highest among those that wait: 0 lowest, 9 highest.
    std::uint8_t priority = 0;

    /// Whether the engine is to load it; else this only says what its models are worth.
    bool isLoad() const { return waiting > 0 || isPrefetch || isCopy; }
};

using DemandList = std::vector<TargetDemand>;

} // namespace lagoon::catalog
