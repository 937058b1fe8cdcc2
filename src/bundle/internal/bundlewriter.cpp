#include "bundle/internal/bundlewriter.h"

#include <cpprest/json.h>

namespace lagoon::bundle {

namespace {

using framework::PoolName;
using framework::SiteName;
using web::json::value;

value poolNamesJson(const std::vector<PoolName>& names)
{
    std::vector<value> values;
    for (const PoolName& name : names)
        values.push_back(value::string(name.value()));
    return value::array(std::move(values));
}

value replicasJson(const std::map<SiteName, std::uint32_t>& replicas)
{
    value json = value::object(true);
    for (const auto& [site, count] : replicas)
        json[site.value()] = value::number(count);
    return json;
}

void addDefaults(value& json, const RequestDefaults& defaults)
{
    json["timeout_ms"] = value::number(static_cast<std::uint64_t>(defaults.timeout.count()));
    json["repeatable"] = value::boolean(defaults.isRepeatable);
    json["priority"] = value::number(static_cast<std::uint32_t>(defaults.priority));
}

value policyJson(const PolicyParameters& policy)
{
    value json = value::object(true);
    json["cold_start_weight"] = value::number(policy.coldStartWeight);
    json["weight_loads_per_second"] = value::number(policy.weightLoadsPerSecond);
    json["weight_loads_at_full_speed"] = value::number(policy.weightLoadsAtFullSpeed);
    return json;
}

value poolJson(const Pool& pool)
{
    value json = value::object(true);
    json["name"] = value::string(pool.name.value());
    json["site"] = value::string(pool.site.value());
    json["kind"] = value::string(pool.kind == PoolKind::Engine ? "engine" : "service");
    if (pool.kind == PoolKind::Engine)
        json["memory_mib"] = value::number(pool.acceleratorMemory.value());
    return json;
}

value serviceJson(const Service& service)
{
    value json = value::object(true);
    json["name"] = value::string(service.name.value());
    json["pools"] = poolNamesJson(service.pools);
    addDefaults(json, service.defaults);
    return json;
}

value modelJson(const Model& model)
{
    value json = value::object(true);
    json["name"] = value::string(model.name.value());
    json["version"] = value::string(model.version.value());
    json["memory_mib"] = value::number(model.memory.value());
    json["pools"] = poolNamesJson(model.pools);
    json["replicas"] = replicasJson(model.replicas);
    addDefaults(json, model.defaults);
    return json;
}

value adapterJson(const Adapter& adapter)
{
    value json = value::object(true);
    json["name"] = value::string(adapter.name.value());
    json["model"] = value::string(adapter.model.value());
    json["version"] = value::string(adapter.version.value());
    json["memory_mib"] = value::number(adapter.memory.value());
    json["replicas"] = replicasJson(adapter.replicas);
    return json;
}

} // namespace

std::string commonText(const Bundle& bundle)
{
    std::vector<value> pools;
    for (const auto& [name, pool] : bundle.pools)
        pools.push_back(poolJson(pool));
    std::vector<value> services;
    for (const auto& [name, service] : bundle.services)
        services.push_back(serviceJson(service));
    value json = value::object(true);
    json["policy"] = policyJson(bundle.policy);
    json["pools"] = value::array(std::move(pools));
    json["services"] = value::array(std::move(services));
    return json.serialize();
}

std::string entriesText(const Bundle& bundle)
{
    std::vector<value> models;
    for (const auto& [name, model] : bundle.models)
        models.push_back(modelJson(model));
    std::vector<value> adapters;
    for (const auto& [model, adaptersOfModel] : bundle.adapters) {
        for (const auto& [name, adapter] : adaptersOfModel)
            adapters.push_back(adapterJson(adapter));
    }
    value json = value::object(true);
    json["models"] = value::array(std::move(models));
    json["adapters"] = value::array(std::move(adapters));
    return json.serialize();
}

} // namespace lagoon::bundle
