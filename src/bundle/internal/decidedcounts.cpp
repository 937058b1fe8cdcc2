#include "bundle/decidedcounts.h"

#include "bundle/replicaobject.h"

namespace lagoon::bundle {

DecidedCounts decidedCounts(const Bundle& bundle)
{
    DecidedCounts counts;
    for (const auto& [name, model] : bundle.models) {
        for (const auto& [site, count] : model.replicas)
            counts[replicaKey(site, name)] = count;
    }
    for (const auto& [model, adapters] : bundle.adapters) {
        for (const auto& [name, adapter] : adapters) {
            for (const auto& [site, count] : adapter.replicas)
                counts[replicaKey(site, model, name)] = count;
        }
    }
    return counts;
}

DecidedCounts loweredCounts(const Bundle& before, const Bundle& after)
{
    const DecidedCounts counts = decidedCounts(after);
    DecidedCounts lowered;
    for (const auto& [key, count] : decidedCounts(before)) {
        const auto found = counts.find(key);
        const std::uint32_t newCount = found == counts.end() ? 0 : found->second;
        if (newCount < count)
            lowered[key] = newCount;
    }
    return lowered;
}

} // namespace lagoon::bundle
