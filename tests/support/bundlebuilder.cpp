#include "support/bundlebuilder.h"

namespace lagoon::testsupport {

using web::json::value;

namespace {

value namesJson(const Names& names)
{
    value json = value::array();
    for (const std::string& name : names)
        json[json.size()] = value::string(name);
    return json;
}

value replicasJson(const Replicas& replicas)
{
    value json = value::object();
    for (const auto& [site, count] : replicas)
        json[site] = value::number(count);
    return json;
}

/// The fields that models and adapters have in common.
value weightsJson(const std::string& name, std::uint64_t memoryMib, const Replicas& replicas)
{
    value json;
    json["name"] = value::string(name);
    json["version"] = value::string("v1");
    json["memory_mib"] = value::number(memoryMib);
    json["replicas"] = replicasJson(replicas);
    return json;
}

value poolJson(const std::string& name, const std::string& site, const std::string& kind)
{
    value json;
    json["name"] = value::string(name);
    json["site"] = value::string(site);
    json["kind"] = value::string(kind);
    return json;
}

} // namespace

BundleBuilder::BundleBuilder(std::uint64_t version)
{
    json_["format"] = value::number(1);
    json_["version"] = value::number(version);
    json_["policy"] = value::object();
    for (const char* list : { "pools", "models", "adapters", "services" })
        json_[list] = value::array();
    policy("weight_loads_per_second", 100);
}

void BundleBuilder::add(const std::string& list, const value& entry) { json_[list][json_[list].size()] = entry; }

BundleBuilder& BundleBuilder::enginePool(const std::string& name, const std::string& site, std::uint64_t memoryMib)
{
    value json = poolJson(name, site, "engine");
    json["memory_mib"] = value::number(memoryMib);
    add("pools", json);
    return *this;
}

BundleBuilder& BundleBuilder::servicePool(const std::string& name, const std::string& site)
{
    add("pools", poolJson(name, site, "service"));
    return *this;
}

BundleBuilder& BundleBuilder::model(
    const std::string& name, std::uint64_t memoryMib, const Names& pools, const Replicas& replicas)
{
    value json = weightsJson(name, memoryMib, replicas);
    json["pools"] = namesJson(pools);
    add("models", json);
    return *this;
}

BundleBuilder& BundleBuilder::adapter(
    const std::string& model, const std::string& name, std::uint64_t memoryMib, const Replicas& replicas)
{
    value json = weightsJson(name, memoryMib, replicas);
    json["model"] = value::string(model);
    add("adapters", json);
    return *this;
}

BundleBuilder& BundleBuilder::service(const std::string& name, const Names& pools)
{
    value json;
    json["name"] = value::string(name);
    json["pools"] = namesJson(pools);
    add("services", json);
    return *this;
}

BundleBuilder& BundleBuilder::policy(const std::string& key, double number)
{
    json_["policy"][key] = value::number(number);
    return *this;
}

} // namespace lagoon::testsupport
