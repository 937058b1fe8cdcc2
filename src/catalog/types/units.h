#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <string>

namespace lagoon::catalog {

/// 10^6 bytes of weights. Sizes are rounded up and capacities down, so that a sum that fits in whole numbers fits.
using MegaBytes = framework::StrongType<struct MegaBytesTag, std::uint64_t>;
/// Tokens of prompts or output, or room for them in an engine's memory.
using Tokens = framework::StrongType<struct TokensTag, std::uint64_t>;
/// Names one upstream. It may start again under the same id; `StartTime` tells the two apart.
using InstanceId = framework::StrongType<struct InstanceIdTag, std::string>;
/// When an upstream's process started, in Unix milliseconds by its own clock: compared with the same upstream's only,
/// and never with this process's time.
using StartTime = framework::StrongType<struct StartTimeTag, std::uint64_t>;
using RouteName = framework::StrongType<struct RouteNameTag, std::string>;
/// Grows with each change by the operator; 0 is "none yet".
using ConfigurationVersion = framework::StrongType<struct ConfigurationVersionTag, std::uint64_t>;

} // namespace lagoon::catalog
