#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <string>

namespace lagoon::catalog {

/// Weights in units of 10^6 bytes. Sizes are rounded up and capacities down, so that models whose rounded sizes fit
/// into the rounded capacity really fit.
using MegaBytes = framework::StrongType<struct MegaBytesTag, std::uint64_t>;
/// Number of prompt or output tokens, or the capacity of an engine's KV cache in tokens.
using Tokens = framework::StrongType<struct TokensTag, std::uint64_t>;
/// Identifies one upstream. An upstream may restart under the same ID; `StartTime` distinguishes its runs.
using InstanceId = framework::StrongType<struct InstanceIdTag, std::string>;
/// Time at which an upstream's process started, in Unix milliseconds by the upstream's own clock. Compared only with
/// other start times of the same upstream, never with this process's time.
using StartTime = framework::StrongType<struct StartTimeTag, std::uint64_t>;
using RouteName = framework::StrongType<struct RouteNameTag, std::string>;
/// Increases with each change by the operator; 0 if there is no configuration yet.
using ConfigurationVersion = framework::StrongType<struct ConfigurationVersionTag, std::uint64_t>;

} // namespace lagoon::catalog
