#include "policy/internal/keepwarm.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <map>

namespace lagoon::policy {

namespace {

using Seconds = std::chrono::duration<double>;

/// Load time that is assumed until a load was measured.
constexpr double assumedLoadSeconds = 20;
/// Mean of a bucket's gaps as a share of its longest gap.
constexpr double meanShareOfBucket = 0.75;

double loadSeconds(const LoadedReplica& replica)
{
    return replica.loadTime.count() > 0 ? Seconds(replica.loadTime).count() : assumedLoadSeconds;
}

/// Number of gaps that the prior counts as. The prior is uniform: before any gap was recorded, all buckets are equally
/// likely.
constexpr double priorWeight = 2;

double gapWeight(const IdleGaps& gaps, std::size_t bucket)
{
    return gaps.weight(bucket) + priorWeight / IdleGaps::buckets;
}

/// Returns how many callers a cold start delays, each weighted by the share of the load that it waits. Uses that
/// followed each other within the time of a load would all have waited for it.
double callersDelayedByColdStart(const IdleGaps& gaps, double load)
{
    constexpr double meanShareOfWait = 0.5;
    constexpr double maxCallers = 10;
    double withinLoad = 0;
    double total = 0;
    for (std::size_t bucket = 0; bucket < IdleGaps::buckets; ++bucket) {
        const double weight = gapWeight(gaps, bucket);
        total += weight;
        if (IdleGaps::upperBoundSeconds(bucket) <= load)
            withinLoad += weight;
    }
    return std::min(maxCallers, 1 + meanShareOfWait * withinLoad / std::max(total - withinLoad, 1 / maxCallers));
}

/// Returns the keep-warm time in seconds that would have cost least over the gaps so far. A gap shorter than that
/// time costs its own length; a longer gap costs that time and a cold start. `coldStart` is the cost of a cold start in
/// seconds of this replica's idling. The result is at least the end of the first bucket: the histogram doesn't
/// resolve shorter gaps, and a shorter time could unload the replica just before the next request.
double cheapestKeepSeconds(const IdleGaps& gaps, double coldStart)
{
    double longer = 0;
    for (std::size_t bucket = 0; bucket < IdleGaps::buckets; ++bucket)
        longer += gapWeight(gaps, bucket);
    double cheapest = 0;
    double lowestCost = std::numeric_limits<double>::infinity();
    double shorterSeconds = 0;
    for (std::size_t bucket = 0; bucket < IdleGaps::buckets; ++bucket) {
        const double end = IdleGaps::upperBoundSeconds(bucket);
        const double weight = gapWeight(gaps, bucket);
        longer -= weight;
        shorterSeconds += weight * end * meanShareOfBucket;
        const double cost = shorterSeconds + longer * (end + coldStart);
        if (cost >= lowestCost)
            continue;
        lowestCost = cost;
        cheapest = end;
    }
    return cheapest;
}

double usesPerSecond(const LoadedReplica& replica, framework::SteadyTime now)
{
    const framework::SteadyTime first
        = replica.recentUses.empty() ? replica.lastUsed : std::min(replica.recentUses.front(), replica.lastUsed);
    const auto uses = static_cast<double>(std::max<std::size_t>(1, replica.recentUses.size()));
    return uses / std::max(1.0, Seconds(now - first).count());
}

/// A replica together with the replicas that have to be evicted with it: a model's adapters are evicted with the model.
struct EvictionGroup {
    /// Indices of the replicas in the order in which to unload them.
    std::vector<std::size_t> members;
    std::uint64_t memory = 0;
    double reloadCostPerMebiByte = 0;
};

EvictionGroup makeGroup(
    const std::vector<LoadedReplica>& replicas, std::vector<std::size_t> members, framework::SteadyTime now)
{
    EvictionGroup group { std::move(members), 0, 0 };
    double reloadCost = 0;
    for (const std::size_t member : group.members) {
        group.memory += replicas[member].memory.value();
        reloadCost += loadSeconds(replicas[member]) * usesPerSecond(replicas[member], now);
    }
    group.reloadCostPerMebiByte = reloadCost / static_cast<double>(std::max<std::uint64_t>(1, group.memory));
    return group;
}

/// Groups the indices of the replicas by model; in each group the adapters precede the model.
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

std::vector<EvictionGroup> evictionCandidates(const std::vector<LoadedReplica>& replicas, framework::SteadyTime now)
{
    std::vector<EvictionGroup> candidates;
    for (const auto& [model, members] : byModel(replicas)) {
        const auto isIdle = [&replicas](std::size_t member) { return replicas[member].running == 0; };
        if (std::all_of(members.begin(), members.end(), isIdle))
            candidates.push_back(makeGroup(replicas, members, now));
        for (const std::size_t member : members) {
            if (!replicas[member].adapter.value().empty() && isIdle(member))
                candidates.push_back(makeGroup(replicas, { member }, now));
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const EvictionGroup& left, const EvictionGroup& right) {
        return left.reloadCostPerMebiByte < right.reloadCostPerMebiByte;
    });
    return candidates;
}

/// Takes candidates in ascending order of cost until they free `needed` MiB. Returns an empty list if all of them free
/// less.
std::vector<std::size_t> takeCheapest(
    const std::vector<LoadedReplica>& replicas, const std::vector<EvictionGroup>& candidates, std::uint64_t needed)
{
    std::vector<std::size_t> taken;
    std::uint64_t freed = 0;
    for (const EvictionGroup& candidate : candidates) {
        for (const std::size_t member : candidate.members) {
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

/// Whether the replica is an adapter whose model is evicted, so that it has to be evicted too.
bool isEvictedWithModel(
    const std::vector<LoadedReplica>& replicas, std::size_t index, const std::vector<std::size_t>& taken)
{
    if (!replicas[index].adapter.value().empty()) {
        return std::any_of(taken.begin(), taken.end(), [&](std::size_t other) {
            return replicas[other].adapter.value().empty() && replicas[other].model == replicas[index].model;
        });
    }
    return false;
}

/// Removes victims that aren't needed to free `needed` MiB, in descending order of cost.
std::vector<std::size_t> removeSurplus(
    const std::vector<LoadedReplica>& replicas, std::vector<std::size_t> taken, std::uint64_t needed)
{
    std::uint64_t freed = 0;
    for (const std::size_t index : taken)
        freed += replicas[index].memory.value();
    for (std::size_t position = taken.size(); position-- > 0;) {
        const std::uint64_t memory = replicas[taken[position]].memory.value();
        if (freed - memory < needed || isEvictedWithModel(replicas, taken[position], taken))
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
    const double coldStart = load * (1 + coldStartWeight_ * callersDelayedByColdStart(replica.gaps, load) / share);
    const double keep = cheapestKeepSeconds(replica.gaps, coldStart);
    return framework::Deadline(
        replica.lastUsed + std::chrono::duration_cast<framework::SteadyTime::duration>(Seconds(keep)));
}

std::vector<std::size_t> SkiRentalKeepWarm::victims(
    const std::vector<LoadedReplica>& replicas, framework::MebiBytes needed, framework::SteadyTime now) const
{
    if (needed.value() == 0)
        return {};
    std::vector<std::size_t> taken = takeCheapest(replicas, evictionCandidates(replicas, now), needed.value());
    return removeSurplus(replicas, std::move(taken), needed.value());
}

} // namespace lagoon::policy
