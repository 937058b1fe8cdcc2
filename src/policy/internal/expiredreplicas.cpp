#include "policy/expiredreplicas.h"

#include <set>

namespace lagoon::policy {

namespace {

bool isAdapter(const LoadedReplica& replica) { return !replica.adapter.value().empty(); }

} // namespace

std::vector<std::size_t> expiredReplicas(const IKeepWarm& keepWarm, const std::vector<LoadedReplica>& replicas,
    framework::MebiBytes accelerator, framework::SteadyTime now)
{
    std::set<framework::ModelName> busy;
    std::set<framework::ModelName> expired;
    for (const LoadedReplica& replica : replicas) {
        if (replica.running > 0)
            busy.insert(replica.model);
        else if (!isAdapter(replica) && keepWarm.keepUntil(replica, accelerator).hasPassed(now))
            expired.insert(replica.model);
    }
    std::vector<std::size_t> adapters;
    std::vector<std::size_t> models;
    for (std::size_t index = 0; index < replicas.size(); ++index) {
        const LoadedReplica& replica = replicas[index];
        const bool isModelExpired = expired.contains(replica.model) && !busy.contains(replica.model);
        if (!isAdapter(replica)) {
            if (isModelExpired)
                models.push_back(index);
            continue;
        }
        const bool isExpired = replica.running == 0 && keepWarm.keepUntil(replica, accelerator).hasPassed(now);
        if (isModelExpired || isExpired)
            adapters.push_back(index);
    }
    adapters.insert(adapters.end(), models.begin(), models.end());
    return adapters;
}

} // namespace lagoon::policy
