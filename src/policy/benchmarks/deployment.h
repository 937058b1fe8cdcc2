#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Seeded traces shaped after the brief's deployments, and a small simulation in virtual time that drives the policy
/// classes over them. No cluster: no messages, no failures of processes.
namespace lagoon::policy::benchmarks {

using Random = std::mt19937_64;

/// Where the virtual clock starts; the policies treat 0 as "never".
inline const framework::SteadyTime traceStart { std::chrono::hours(1000) };

inline constexpr int traceDays = 3;
inline const framework::SteadyTime traceEnd = traceStart + std::chrono::hours(24 * traceDays);

/// How requests come.
enum class Traffic : std::uint8_t {
    Sessions, ///< someone works with a model for a while, at any time of the working day
    Appointments, ///< many at once in the minutes before each half hour
};

struct Deployment {
    std::string name;
    std::size_t servers = 0;
    std::size_t routers = 3;
    std::size_t models = 0;
    std::size_t adapters = 0;
    framework::MebiBytes serverMemory;
    framework::MebiBytes smallestModel;
    framework::MebiBytes largestModel;
    double storeLoadsPerSecond = 1;
    std::uint32_t storeFullSpeedLoads = 4;
    framework::Milliseconds timeout { 0 };
    double coldStartWeight = 1;
    /// Checkpoints that fit onto a server's disk and into its host memory, in accelerator memories.
    double diskCache = 1.5;
    double memoryCache = 0.6;
    Traffic traffic = Traffic::Sessions;
};

Deployment ekowe();
Deployment waitaha();

/// A model, or an adapter on its model.
struct Target {
    std::string name;
    /// Index of the model; a model's own index for itself.
    std::size_t model = 0;
    bool isAdapter = false;
    framework::MebiBytes memory;
    /// How much longer its loads take than others of its size.
    double slowness = 1;
};

/// Models first, then adapters.
std::vector<Target> makeTargets(const Deployment&, Random&);

struct TraceRequest {
    framework::SteadyTime at;
    std::size_t target = 0;
    std::size_t router = 0;
    framework::Deadline deadline;
    framework::Milliseconds service { 0 };
    std::uint8_t priority = 4;
};

/// Requests of `traceDays` alike days in the order of time.
std::vector<TraceRequest> makeTrace(const Deployment&, const std::vector<Target>&, Random&);

/// Everything at once, as after the loss of a failure domain: each model gets a few requests within half a minute, with
/// deadlines of half a minute to three minutes; a fifth is of high priority.
std::vector<TraceRequest> makeStorm(const Deployment&, Random&);

} // namespace lagoon::policy::benchmarks
