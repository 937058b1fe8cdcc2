#include "policy/benchmarks/baselines.h"

#include <algorithm>
#include <numeric>

namespace lagoon::policy::benchmarks {

namespace {

bool isAdapter(const LoadedReplica& replica) { return !replica.adapter.value().empty(); }

/// Returns the indices of the replicas, least recently used first. The use of an adapter is also a use of its model, so
/// an adapter precedes a model with the same time.
std::vector<std::size_t> byLastUse(const std::vector<LoadedReplica>& replicas)
{
    std::vector<std::size_t> order(replicas.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_sort(order.begin(), order.end(), [&replicas](std::size_t left, std::size_t right) {
        if (replicas[left].lastUsed != replicas[right].lastUsed)
            return replicas[left].lastUsed < replicas[right].lastUsed;
        return isAdapter(replicas[left]) && !isAdapter(replicas[right]);
    });
    return order;
}

} // namespace

FixedTimeoutKeepWarm::FixedTimeoutKeepWarm(framework::Milliseconds timeout)
    : timeout_(timeout)
{
}

framework::Deadline FixedTimeoutKeepWarm::keepUntil(const LoadedReplica& replica, framework::MebiBytes) const
{
    return framework::Deadline::after(replica.lastUsed, timeout_);
}

std::vector<std::size_t> FixedTimeoutKeepWarm::victims(
    const std::vector<LoadedReplica>& replicas, framework::MebiBytes needed, framework::SteadyTime) const
{
    std::vector<std::size_t> taken;
    std::uint64_t freed = 0;
    const auto isTaken
        = [&taken](std::size_t index) { return std::find(taken.begin(), taken.end(), index) != taken.end(); };
    for (const std::size_t index : byLastUse(replicas)) {
        if (freed >= needed.value())
            return taken;
        if (replicas[index].running > 0)
            continue;
        bool hasAdapters = false;
        for (std::size_t other = 0; other < replicas.size() && !isAdapter(replicas[index]); ++other)
            hasAdapters |= other != index && replicas[other].model == replicas[index].model && !isTaken(other);
        if (hasAdapters)
            continue;
        taken.push_back(index);
        freed += replicas[index].memory.value();
    }
    return freed >= needed.value() ? taken : std::vector<std::size_t> {};
}

std::optional<std::size_t> RoundRobinLoadPlacement::choose(const std::vector<LoadBid>& bids) const
{
    for (const bool mayEvict : { false, true }) {
        for (std::size_t step = 0; step < bids.size(); ++step) {
            const std::size_t index = (next_ + step) % bids.size();
            if (!bids[index].canLoad || (bids[index].evictedMemory.value() > 0 && !mayEvict))
                continue;
            next_ = index + 1;
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> FifoLoadOrder::next(const std::vector<PendingLoad>& loads, framework::SteadyTime) const
{
    const auto first = std::min_element(loads.begin(), loads.end(),
        [](const PendingLoad& left, const PendingLoad& right) { return left.since < right.since; });
    if (first == loads.end())
        return std::nullopt;
    return static_cast<std::size_t>(first - loads.begin());
}

} // namespace lagoon::policy::benchmarks
