#pragma once

#include "forwarding/demandplanner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoon::forwarding {

/// Returns the time until the model is loaded, as the engine's agent reported it; std::nullopt if it reported none.
std::optional<framework::Milliseconds> expectedLoadTime(
    const EngineFacts&, const framework::ModelName&, framework::SteadyTime now);
/// Returns the time that the engine would take to load the model if it were asked now, including its pending loads.
framework::Milliseconds loadCost(const EngineFacts&, const catalog::ModelProfile&, framework::SteadyTime now);
/// Returns the number of engines that are loading the model.
std::uint32_t loadersOf(const std::vector<EngineFacts>&, const framework::ModelName&);
/// Returns the fraction of one engine that this router's requests in flight occupy, by model including its adapters and
/// over all engines: of the slots or of the memory, whichever is scarcer. `slots` is the number of slots of an engine.
std::map<framework::ModelName, double> occupancies(const std::vector<EngineFacts>&, std::uint32_t slots);

} // namespace lagoon::forwarding
