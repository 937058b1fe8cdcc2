#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Seeded traces modelled on the deployments in the requirements, and a small simulation in virtual time that runs the
/// policy classes over them. It simulates no messages and no failures of processes.
namespace lagoon::policy::benchmarks {

using Random = std::mt19937_64;

/// Start of the virtual clock. It isn't 0, since the policies treat 0 as "never".
inline const framework::SteadyTime traceStart { std::chrono::hours(1000) };

inline constexpr int traceDays = 3;
inline const framework::SteadyTime traceEnd = traceStart + std::chrono::hours(24 * traceDays);

/// The pattern in which requests arrive.
enum class Traffic : std::uint8_t {
    Sessions, ///< a user works with a model for a while, at any time of the working day
    Appointments, ///< bursts of requests in the minutes before each half hour
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
    /// Capacity for checkpoints on a server's disk and in its host memory, in multiples of the accelerator memory.
    double diskCache = 1.5;
    double memoryCache = 0.6;
    Traffic traffic = Traffic::Sessions;
};

Deployment ekowe();
Deployment waitaha();

/// A model, or an adapter on its model.
struct Target {
    std::string name;
    /// Index of an adapter's model. For a model, its own index.
    std::size_t model = 0;
    bool isAdapter = false;
    framework::MebiBytes memory;
    /// Factor on the duration of its loads, compared with an average target of the same size.
    double slowness = 1;
};

/// Makes the models and adapters of a deployment. The models come first.
std::vector<Target> makeTargets(const Deployment&, Random&);

struct TraceRequest {
    framework::SteadyTime at;
    std::size_t target = 0;
    std::size_t router = 0;
    framework::Deadline deadline;
    framework::Milliseconds service { 0 };
    std::uint8_t priority = 4;
};

/// Makes the requests of `traceDays` similar days, in the order of time.
std::vector<TraceRequest> makeTrace(const Deployment&, const std::vector<Target>&, Random&);

/// Makes requests for all models at once, as after the loss of a failure domain: each model gets a few requests within
/// half a minute. Their deadlines are half a minute to three minutes after arrival; a fifth of them has high priority.
std::vector<TraceRequest> makeStorm(const Deployment&, Random&);

} // namespace lagoon::policy::benchmarks
