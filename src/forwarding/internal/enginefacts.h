#pragma once

#include "forwarding/demandplanner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoon::forwarding {

/// When the model will be there, from now, as the engine's agent said; nothing if it said nothing of it.
std::optional<framework::Milliseconds> expectedLoadTime(
    const EngineFacts&, const framework::ModelName&, framework::SteadyTime now);
/// Until the engine would have loaded the model, if it were asked now.
framework::Milliseconds loadCost(const EngineFacts&, const catalog::ModelProfile&, framework::SteadyTime now);
/// Engines that are loading the model.
std::uint32_t loadersOf(const std::vector<EngineFacts>&, const framework::ModelName&);
/// Part of one engine that this router's requests under way for each model and its adapters take, wherever they run: of
/// its slots or of its memory, whichever is scarcer. `slots` are an engine's.
std::map<framework::ModelName, double> occupancies(const std::vector<EngineFacts>&, std::uint32_t slots);

} // namespace lagoon::forwarding
