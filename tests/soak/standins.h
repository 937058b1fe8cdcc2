#pragma once

#include "fleet/fleet.h"
#include "soak/soaksettings.h"

#include <string>

namespace lagoon::soak {

inline constexpr int streamEvents = 6;

/// The body of the answer to a stream that is sent whole by servers of this version.
std::string expectedStream(const std::string& version);
/// Sets the engine's stream length and load time for the run.
void prepare(fleet::EngineStandin&, const RunParameters&);
/// The fleet's default routes with the run's target latency, and optionally one more route.
std::vector<web::json::value> routesOf(const RunParameters&, bool hasNewRoute);

} // namespace lagoon::soak
