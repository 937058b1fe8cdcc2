#include "agent/internal/agentstatus.h"

#include <cpprest/json.h>

namespace lagoon::agent {

namespace {

using web::json::value;

value replicaValue(const Replica& replica, framework::SteadyTime now)
{
    value entry = value::object();
    entry["replica"] = value::string(replicaText(replica.id));
    entry["version"] = value::string(replica.version.value());
    entry["memory_mib"] = value::number(replica.memory.value());
    entry["stage"] = value::string(stageText(replica.stage));
    entry["is_claimed"] = value::boolean(replica.isClaimed);
    entry["fence"] = value::number(replica.fence.value());
    entry["uses"] = value::number(replica.uses);
    entry["waiters"] = value::number(static_cast<std::uint64_t>(replica.waiters.size()));
    const auto idle = std::chrono::duration_cast<framework::Milliseconds>(now - replica.lastUsed);
    entry["idle_ms"] = value::number(static_cast<std::int64_t>(replica.uses > 0 ? 0 : idle.count()));
    return entry;
}

value memoryValue(const MemoryAccount& account)
{
    value memory = value::object();
    memory["total_mib"] = value::number(account.total().value());
    memory["used_mib"] = value::number(account.used().value());
    memory["free_mib"] = value::number(account.available().value());
    return memory;
}

} // namespace

std::string statusText(const StatusView& view)
{
    value status = value::object();
    status["role"] = value::string("agent");
    status["vm"] = value::string(view.identity.vm.value());
    status["site"] = value::string(view.identity.site.value());
    status["failure_domain"] = value::string(view.identity.failureDomain.value());
    status["pool"] = value::string(view.pool.value());
    status["incarnation"] = value::string(std::to_string(view.incarnation.value()));
    status["bundle_version"] = value::number(view.bundleVersion);
    status["is_draining"] = value::boolean(view.isDraining);
    status["running"] = value::number(view.gate.running());
    status["waiting"] = value::number(view.gate.waiting());
    status["ledger_entries"] = value::number(static_cast<std::uint64_t>(view.gate.ledger().entries()));
    status["ledger_bytes"] = value::number(static_cast<std::uint64_t>(view.gate.ledger().bytes()));
    if (!view.replicas)
        return status.serialize();
    status["is_open"] = value::boolean(view.replicas->isInitialized());
    status["memory"] = memoryValue(view.replicas->memory());
    std::vector<value> replicas;
    for (const auto& [id, replica] : view.replicas->replicas())
        replicas.push_back(replicaValue(replica, view.now));
    status["replicas"] = value::array(replicas);
    return status.serialize();
}

} // namespace lagoon::agent
