#include "policy/benchmarks/deployment.h"

#include <algorithm>
#include <cmath>

namespace lagoon::policy::benchmarks {

using framework::Deadline;
using framework::MebiBytes;
using framework::Milliseconds;
using framework::SteadyTime;

namespace {

constexpr double workdayStartHour = 8;
constexpr double workdayHours = 9;

SteadyTime atSecond(double second)
{
    return traceStart + std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(second));
}

double uniform(Random& random, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(random);
}

double exponential(Random& random, double mean) { return std::exponential_distribution<double>(1 / mean)(random); }

TraceRequest request(const Deployment& deployment, std::size_t target, double second, Random& random)
{
    TraceRequest made;
    made.at = atSecond(second);
    made.target = target;
    made.router = random() % deployment.routers;
    made.deadline = Deadline::after(made.at, deployment.timeout);
    made.service = Milliseconds(static_cast<std::int64_t>(1000 * uniform(random, 2, 10)));
    return made;
}

/// Makes a Zipf distribution of popularity: the n-th target has a share of 1/n of the first one's, so that a few
/// targets are used all day and most hardly ever. The shares are in random order.
std::vector<double> popularity(std::size_t count, Random& random)
{
    std::vector<double> shares;
    for (std::size_t rank = 1; rank <= count; ++rank)
        shares.push_back(1.0 / static_cast<double>(rank));
    std::shuffle(shares.begin(), shares.end(), random);
    return shares;
}

void addSessions(const Deployment& deployment, std::size_t target, double sessionsPerHour, double dayStart,
    Random& random, std::vector<TraceRequest>& trace)
{
    constexpr double meanSessionSeconds = 900;
    constexpr double meanPauseSeconds = 60;
    const double end = dayStart + (workdayStartHour + workdayHours) * 3600;
    double session = dayStart + workdayStartHour * 3600 + exponential(random, 3600 / sessionsPerHour);
    while (session < end) {
        const double sessionEnd = session + exponential(random, meanSessionSeconds);
        for (double at = session; at < sessionEnd; at += exponential(random, meanPauseSeconds))
            trace.push_back(request(deployment, target, at, random));
        session = sessionEnd + exponential(random, 3600 / sessionsPerHour);
    }
}

void addAppointments(const Deployment& deployment, std::size_t target, double chancePerSlot, double dayStart,
    Random& random, std::vector<TraceRequest>& trace)
{
    constexpr double slotSeconds = 1800;
    constexpr double burstSeconds = 60;
    const double end = dayStart + (workdayStartHour + workdayHours) * 3600;
    for (double slot = dayStart + (workdayStartHour + 1) * 3600; slot <= end; slot += slotSeconds) {
        if (uniform(random, 0, 1) > chancePerSlot)
            continue;
        const double burst = slot - uniform(random, 120, 600);
        const auto size = static_cast<std::size_t>(uniform(random, 2, 12));
        for (std::size_t count = 0; count < size; ++count)
            trace.push_back(request(deployment, target, burst + uniform(random, 0, burstSeconds), random));
    }
}

} // namespace

Deployment ekowe()
{
    Deployment made;
    made.name = "ekowe";
    made.servers = 9;
    made.models = 30;
    made.adapters = 55;
    made.serverMemory = MebiBytes(81920);
    made.smallestModel = MebiBytes(15000);
    made.largestModel = MebiBytes(60000);
    made.storeLoadsPerSecond = 1.5;
    made.timeout = std::chrono::seconds(120);
    made.coldStartWeight = 16;
    made.traffic = Traffic::Sessions;
    return made;
}

Deployment waitaha()
{
    Deployment made;
    made.name = "waitaha";
    made.servers = 18;
    made.models = 35;
    made.adapters = 115;
    made.serverMemory = MebiBytes(81920);
    made.smallestModel = MebiBytes(8000);
    made.largestModel = MebiBytes(45000);
    made.storeLoadsPerSecond = 4;
    made.timeout = std::chrono::seconds(60);
    made.coldStartWeight = 64;
    made.traffic = Traffic::Appointments;
    return made;
}

std::vector<Target> makeTargets(const Deployment& deployment, Random& random)
{
    std::vector<Target> targets;
    for (std::size_t index = 0; index < deployment.models; ++index) {
        const double memory = uniform(random, static_cast<double>(deployment.smallestModel.value()),
            static_cast<double>(deployment.largestModel.value()));
        targets.push_back({ "model-" + std::to_string(index), index, false,
            MebiBytes(static_cast<std::uint64_t>(memory)), uniform(random, 0.8, 1.6) });
    }
    for (std::size_t index = 0; index < deployment.adapters; ++index) {
        const std::size_t model = random() % deployment.models;
        targets.push_back({ targets[model].name + "/adapter-" + std::to_string(index), model, true,
            MebiBytes(static_cast<std::uint64_t>(uniform(random, 200, 1200))), uniform(random, 0.8, 1.6) });
    }
    return targets;
}

std::vector<TraceRequest> makeTrace(const Deployment& deployment, const std::vector<Target>& targets, Random& random)
{
    constexpr double sessionsPerHourOfMostUsed = 3;
    constexpr double minSessionsPerHour = 0.05;
    constexpr double minChancePerSlot = 0.06;
    std::vector<TraceRequest> trace;
    const std::vector<double> shares = popularity(targets.size(), random);
    for (std::size_t target = 0; target < targets.size(); ++target) {
        const double perHour = std::max(minSessionsPerHour, sessionsPerHourOfMostUsed * shares[target]);
        const double chance = std::max(minChancePerSlot, shares[target]);
        for (int day = 0; day < traceDays; ++day) {
            const double dayStart = day * 24 * 3600.0;
            if (deployment.traffic == Traffic::Sessions)
                addSessions(deployment, target, perHour, dayStart, random, trace);
            else
                addAppointments(deployment, target, chance, dayStart, random, trace);
        }
    }
    std::stable_sort(trace.begin(), trace.end(),
        [](const TraceRequest& left, const TraceRequest& right) { return left.at < right.at; });
    return trace;
}

std::vector<TraceRequest> makeStorm(const Deployment& deployment, Random& random)
{
    constexpr double stormSeconds = 30;
    std::vector<TraceRequest> trace;
    for (std::size_t model = 0; model < deployment.models; ++model) {
        const auto size = static_cast<std::size_t>(uniform(random, 1, 8));
        for (std::size_t count = 0; count < size; ++count) {
            trace.push_back(request(deployment, model, 3600 + uniform(random, 0, stormSeconds), random));
            const auto timeoutMs = static_cast<std::int64_t>(1000 * uniform(random, 30, 180));
            trace.back().deadline = Deadline::after(trace.back().at, Milliseconds(timeoutMs));
            trace.back().priority = uniform(random, 0, 1) < 0.2 ? 9 : 4;
        }
    }
    std::stable_sort(trace.begin(), trace.end(),
        [](const TraceRequest& left, const TraceRequest& right) { return left.at < right.at; });
    return trace;
}

} // namespace lagoon::policy::benchmarks
