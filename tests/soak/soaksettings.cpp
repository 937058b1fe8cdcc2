#include "soak/soaksettings.h"

#include <random>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

/// Balancers need two seconds to notice, so a router can't end sooner.
constexpr std::uint64_t minGraceMs = 3000;
/// A load that begins just before a router's signal lasts beyond the router's end.
constexpr std::uint64_t minLoadMs = 1500;
/// Enough for one load before the own one, so that most requests wait for a load and not for their deadline.
constexpr Milliseconds deadlineBeyondGrace { 6000 };
/// Callers a router: where loads are slow, most of them wait.
constexpr std::size_t callersPerRouterSlowLoads = 6;
constexpr std::size_t callersPerRouterFastLoads = 2;
/// One in so many runs with faults has slow loads too.
constexpr std::uint64_t mixedRunsPerSlowLoads = 3;
/// Models beyond what all engines have room for: some are always being loaded.
constexpr std::size_t excessModels = 2;
constexpr std::size_t modelsPerEngine = 2;

} // namespace

RunParameters parametersOf(const SoakSettings& settings)
{
    RunParameters parameters;
    const bool hasSlowLoads = settings.kind == RunKind::Planned || settings.seed % mixedRunsPerSlowLoads == 0;
    parameters.callers = (hasSlowLoads ? callersPerRouterSlowLoads : callersPerRouterFastLoads) * settings.routers;
    if (!hasSlowLoads)
        return parameters;
    std::mt19937_64 random(settings.seed * 31);
    parameters.grace = Milliseconds(minGraceMs + random() % 3000);
    parameters.loadTime = Milliseconds(minLoadMs + random() % 3000);
    parameters.deadline = parameters.grace + deadlineBeyondGrace;
    parameters.targetLatency = parameters.deadline;
    while (parameters.models.size() < settings.engines * modelsPerEngine + excessModels)
        parameters.models.push_back("cold-" + std::to_string(parameters.models.size()));
    return parameters;
}

} // namespace lagoon::soak
