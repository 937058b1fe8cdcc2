#pragma once

#include "fleet/fleet.h"
#include "soak/soaksettings.h"

#include <string>

namespace lagoon::soak {

inline constexpr int streamEvents = 6;

/// What a whole stream's answer holds.
std::string expectedStream();
/// As the run's terms ask.
void prepare(fleet::EngineStandin&, const RunParameters&);
/// The fleet's usual routes, whose callers wait for a first event as long as the run's terms say, and one more or not.
std::vector<web::json::value> routesOf(const RunParameters&, bool hasNewRoute);

} // namespace lagoon::soak
