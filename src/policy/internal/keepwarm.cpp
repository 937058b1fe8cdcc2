#include "policy/internal/keepwarm.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <map>

namespace lagoon::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// Assumed until a load was measured.
constexpr double assumedLoadSeconds = 20;
/// A bucket's gaps are about this part of its longest one.
constexpr double meanShareOfBucket = 0.75;

double loadSeconds(const LoadedReplica& replica)
{
    return replica.loadTime.count() > 0 ? Seconds(replica.loadTime).count() : assumedLoadSeconds;
}

/// Gaps of any length are thought alike likely before any was seen; together they count as this many.
constexpr double priorGaps = 2;

double gapWeight(const IdleGaps& gaps, std::size_t bucket)
{
    return gaps.weight(bucket) + priorGaps / IdleGaps::buckets;
}

/// How many callers a cold start makes wait, each counted by the part of the load that it waits: uses that followed
/// each other within a load's time would all have waited for it.
double callersOfColdStart(const IdleGaps& gaps, double load)
{
    constexpr double meanShareOfWait = 0.5;
    constexpr double most = 10;
    double together = 0;
    double all = 0;
    for (std::size_t bucket = 0; bucket < IdleGaps::buckets; ++bucket) {
        const double weight = gapWeight(gaps, bucket);
        all += weight;
        if (IdleGaps::upperBoundSeconds(bucket) <= load)
            together += weight;
    }
    return std::min(most, 1 + meanShareOfWait * together / std::max(all - together, 1 / most));
}

/// Of all times to keep, the one that would have cost least over the gaps so far: each gap that is shorter costs
/// itself, each that is longer the time kept and a cold start. `coldStart` is in seconds of this replica's idling.
/// The result is at least the end of the first bucket: the histogram doesn't resolve shorter gaps, and a shorter time
/// could unload the replica just before the next request.
double cheapestKeep(const IdleGaps& gaps, double coldStart)
{
    double longer = 0;
    for (std::size_t bucket = 0; bucket < IdleGaps::buckets; ++bucket)
        longer += gapWeight(gaps, bucket);
    double best = 0;
    double least = std::numeric_limits<double>::infinity();
    double shorterSeconds = 0;
    for (std::size_t bucket = 0; bucket < IdleGaps::buckets; ++bucket) {
        const double end = IdleGaps::upperBoundSeconds(bucket);
        const double weight = gapWeight(gaps, bucket);
        longer -= weight;
        shorterSeconds += weight * end * meanShareOfBucket;
        const double cost = shorterSeconds + longer * (end + coldStart);
        if (cost >= least)
            continue;
        least = cost;
        best = end;
    }
    return best;
}

double usesPerSecond(const LoadedReplica& replica, framework::SteadyTime now)
{
    const framework::SteadyTime first
        = replica.recentUses.empty() ? replica.lastUsed : std::min(replica.recentUses.front(), replica.lastUsed);
    const auto uses = static_cast<double>(std::max<std::size_t>(1, replica.recentUses.size()));
    return uses / std::max(1.0, Seconds(now - first).count());
}

/// A replica with all that has to go with it: a model has its adapters.
struct Removal {
    /// In the order of unloading.
    std::vector<std::size_t> members;
    std::uint64_t memory = 0;
    double missedPerMebiByte = 0;
};

Removal removal(const std::vector<LoadedReplica>& replicas, std::vector<std::size_t> members, framework::SteadyTime now)
{
    Removal whole { std::move(members), 0, 0 };
    double missed = 0;
    for (const std::size_t member : whole.members) {
        whole.memory += replicas[member].memory.value();
        missed += loadSeconds(replicas[member]) * usesPerSecond(replicas[member], now);
    }
    whole.missedPerMebiByte = missed / static_cast<double>(std::max<std::uint64_t>(1, whole.memory));
    return whole;
}

/// Adapters first, then the model.
std::map<framework::ModelName, std::vector<std::size_t>> byModel(const std::vector<LoadedReplica>& replicas)
{
    std::map<framework::ModelName, std::vector<std::size_t>> groups;
    for (std::size_t index = 0; index < replicas.size(); ++index) {
        if (!replicas[index].adapter.value().empty())
            groups[replicas[index].model].push_back(index);
    }
    for (std::size_t index = 0; index < replicas.size(); ++index) {
        if (replicas[index].adapter.value().empty())
            groups[replicas[index].model].push_back(index);
    }
    return groups;
}

std::vector<Removal> possibleRemovals(const std::vector<LoadedReplica>& replicas, framework::SteadyTime now)
{
    std::vector<Removal> removals;
    for (const auto& [model, members] : byModel(replicas)) {
        const auto isIdle = [&replicas](std::size_t member) { return replicas[member].running == 0; };
        if (std::all_of(members.begin(), members.end(), isIdle))
            removals.push_back(removal(replicas, members, now));
        for (const std::size_t member : members) {
            if (!replicas[member].adapter.value().empty() && isIdle(member))
                removals.push_back(removal(replicas, { member }, now));
        }
    }
    std::stable_sort(removals.begin(), removals.end(),
        [](const Removal& left, const Removal& right) { return left.missedPerMebiByte < right.missedPerMebiByte; });
    return removals;
}

/// Takes from the cheapest on until there is enough.
std::vector<std::size_t> takeEnough(
    const std::vector<LoadedReplica>& replicas, const std::vector<Removal>& removals, std::uint64_t needed)
{
    std::vector<std::size_t> taken;
    std::uint64_t freed = 0;
    for (const Removal& removal : removals) {
        for (const std::size_t member : removal.members) {
            if (std::find(taken.begin(), taken.end(), member) != taken.end())
                continue;
            taken.push_back(member);
            freed += replicas[member].memory.value();
        }
        if (freed >= needed)
            return taken;
    }
    return {};
}

bool isNeededBy(const std::vector<LoadedReplica>& replicas, std::size_t index, const std::vector<std::size_t>& taken)
{
    if (!replicas[index].adapter.value().empty()) {
        return std::any_of(taken.begin(), taken.end(), [&](std::size_t other) {
            return replicas[other].adapter.value().empty() && replicas[other].model == replicas[index].model;
        });
    }
    return false;
}

/// Spares, from the dearest on, what isn't needed after all.
std::vector<std::size_t> spareSurplus(
    const std::vector<LoadedReplica>& replicas, std::vector<std::size_t> taken, std::uint64_t needed)
{
    std::uint64_t freed = 0;
    for (const std::size_t index : taken)
        freed += replicas[index].memory.value();
    for (std::size_t position = taken.size(); position-- > 0;) {
        const std::uint64_t memory = replicas[taken[position]].memory.value();
        if (freed - memory < needed || isNeededBy(replicas, taken[position], taken))
            continue;
        freed -= memory;
        taken.erase(taken.begin() + static_cast<std::ptrdiff_t>(position));
    }
    return taken;
}

} // namespace

SkiRentalKeepWarm::SkiRentalKeepWarm(double coldStartWeight)
    : coldStartWeight_(coldStartWeight)
{
}

framework::Deadline SkiRentalKeepWarm::keepUntil(const LoadedReplica& replica, framework::MebiBytes accelerator) const
{
    const double whole = static_cast<double>(std::max<std::uint64_t>(1, accelerator.value()));
    const double share = std::clamp(static_cast<double>(replica.memory.value()) / whole, 0.001, 1.0);
    const double load = loadSeconds(replica);
    const double coldStart = load * (1 + coldStartWeight_ * callersOfColdStart(replica.gaps, load) / share);
    const double keep = cheapestKeep(replica.gaps, coldStart);
    return framework::Deadline(
        replica.lastUsed + std::chrono::duration_cast<framework::SteadyTime::duration>(Seconds(keep)));
}

std::vector<std::size_t> SkiRentalKeepWarm::victims(
    const std::vector<LoadedReplica>& replicas, framework::MebiBytes needed, framework::SteadyTime now) const
{
    if (needed.value() == 0)
        return {};
    std::vector<std::size_t> taken = takeEnough(replicas, possibleRemovals(replicas, now), needed.value());
    return spareSurplus(replicas, std::move(taken), needed.value());
}

} // namespace lagoon::policy
