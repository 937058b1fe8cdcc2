#include "soak/soaksettings.h"

#include "soak/customercallers.h"

#include <random>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

/// Load balancers need two seconds to notice that a router is not ready, so it must not end sooner.
constexpr std::uint64_t minGraceMs = 3000;
/// A load that starts just before a router receives SIGTERM outlasts the router.
constexpr std::uint64_t minLoadMs = 1500;
/// Requests have this much time beyond the grace period: enough for one other load before their own, so that most of
/// them wait until their model is loaded and not until their deadline.
constexpr Milliseconds deadlineBeyondGrace { 6000 };
/// The number of callers per router. With slow loads there are more, because most of them wait.
constexpr std::size_t callersPerRouterSlowLoads = 6;
constexpr std::size_t callersPerRouterFastLoads = 2;
/// One in this many mixed runs has slow loads.
constexpr std::uint64_t mixedRunsPerSlowLoads = 3;
/// The number of models beyond the capacity of all engines, so that some are always being loaded.
constexpr std::size_t excessModels = 2;
constexpr std::size_t modelsPerEngine = 2;

} // namespace

RunParameters parametersOf(const SoakSettings& settings)
{
    RunParameters parameters;
    if (settings.kind == RunKind::Customers)
        parameters.headers = CustomerCallers::unlimitedHeaders();
    const bool hasSlowLoads = settings.kind == RunKind::Planned
        || (settings.kind != RunKind::Starts && settings.seed % mixedRunsPerSlowLoads == 0);
    parameters.callers = settings.callers.value_or(
        (hasSlowLoads ? callersPerRouterSlowLoads : callersPerRouterFastLoads) * settings.routers);
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
