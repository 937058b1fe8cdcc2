#include "policy/internal/replicachoice.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace lagoon::policy {

namespace {

/// Bound on the wait at a prefix's preferred replica, as a multiple of the median wait. A cached prefix saves about
/// that much of the work.
constexpr double affinityBound = 1.5;
/// Time in which a bad average loses half of its excess over the median.
constexpr double decayHalfLifeSeconds = 20;
constexpr double assumedFirstByteSeconds = 0.1;

struct Candidate {
    std::size_t index = 0;
    std::uint64_t weight = 0;
    double wait = 0;
};

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double typicalFirstByte(const std::vector<ReplicaView>& replicas)
{
    std::vector<double> known;
    for (const ReplicaView& replica : replicas) {
        if (replica.firstByteSeconds > 0)
            known.push_back(replica.firstByteSeconds);
    }
    return known.empty() ? assumedFirstByteSeconds : median(std::move(known));
}

double decayedFirstByte(const ReplicaView& replica, double typical, framework::SteadyTime now)
{
    if (replica.firstByteSeconds <= typical)
        return typical;
    const double age = std::chrono::duration<double>(now - replica.lastAnswer).count();
    const double excess = replica.firstByteSeconds - typical;
    return typical + excess * std::exp2(-std::max(0.0, age) / decayHalfLifeSeconds);
}

/// Returns the expected wait of one more request. This router's own requests are known at once. The agent's last report
/// covers the requests of all routers, including this one's, but lags behind; so the greater of the two counts.
double expectedWait(const ReplicaView& replica, double typical, framework::SteadyTime now)
{
    const std::uint32_t load = std::max(replica.ownInFlight, replica.reportedRunning + replica.reportedWaiting);
    return (load + 1) * decayedFirstByte(replica, typical, now);
}

std::uint64_t prefixWeight(std::uint64_t prefixHash, const ReplicaView& replica)
{
    return mixBits(fnv1a(replica.vm.value().data(), replica.vm.value().size(), mixBits(prefixHash)));
}

std::vector<Candidate> candidates(
    const std::vector<ReplicaView>& replicas, std::uint64_t prefixHash, framework::SteadyTime now)
{
    const bool areAllSuspect
        = std::all_of(replicas.begin(), replicas.end(), [](const ReplicaView& replica) { return replica.isSuspect; });
    const double typical = typicalFirstByte(replicas);
    std::vector<Candidate> usable;
    for (std::size_t index = 0; index < replicas.size(); ++index) {
        const ReplicaView& replica = replicas[index];
        if (replica.isSuspect && !areAllSuspect)
            continue;
        usable.push_back({ index, prefixWeight(prefixHash, replica), expectedWait(replica, typical, now) });
    }
    return usable;
}

std::size_t firstWithinBound(std::vector<Candidate> usable)
{
    std::vector<double> waits;
    for (const Candidate& candidate : usable)
        waits.push_back(candidate.wait);
    const double bound = median(std::move(waits)) * affinityBound;
    std::sort(usable.begin(), usable.end(),
        [](const Candidate& left, const Candidate& right) { return left.weight > right.weight; });
    for (const Candidate& candidate : usable) {
        if (candidate.wait <= bound)
            return candidate.index;
    }
    return usable.front().index;
}

} // namespace

BoundedLoadReplicaChoice::BoundedLoadReplicaChoice(std::uint64_t seed)
    : state_(seed)
{
}

std::optional<std::size_t> BoundedLoadReplicaChoice::choose(
    const std::vector<ReplicaView>& replicas, std::uint64_t prefixHash, framework::SteadyTime now)
{
    const std::vector<Candidate> usable = candidates(replicas, prefixHash, now);
    if (usable.empty())
        return std::nullopt;
    if (usable.size() == 1)
        return usable.front().index;
    if (prefixHash != 0)
        return firstWithinBound(usable);
    const std::size_t first = draw() % usable.size();
    const std::size_t second = (first + 1 + draw() % (usable.size() - 1)) % usable.size();
    return usable[first].wait <= usable[second].wait ? usable[first].index : usable[second].index;
}

std::uint64_t BoundedLoadReplicaChoice::draw()
{
    constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15ULL;
    state_ += goldenRatio;
    return mixBits(state_);
}

} // namespace lagoon::policy
