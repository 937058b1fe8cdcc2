#include "bundle/internal/bundlereader.h"

#include <algorithm>
#include <cctype>

namespace lagoon::bundle {

namespace {

using framework::AdapterName;
using framework::CheckedObject;
using framework::MebiBytes;
using framework::Milliseconds;
using framework::ModelName;
using framework::PoolName;
using framework::ServiceName;
using framework::SiteName;
using framework::WeightsVersion;

constexpr std::size_t maxNameLength = 100;
constexpr std::uint64_t maxMemoryMib = 1ULL << 30U;
constexpr std::uint64_t maxReplicas = 10000;
constexpr std::uint64_t maxTimeoutMs = 3600 * 1000;
constexpr std::uint64_t highestPriority = 9;
constexpr double maxColdStartWeight = 1e6;
constexpr double minLoadsPerSecond = 0.001;
constexpr double maxLoadsPerSecond = 1e6;

/// Returns true if the text can be a segment of a platform key and of a URL path.
bool isName(const std::string& text)
{
    if (text.empty() || text.size() > maxNameLength || text == "." || text == "..")
        return false;
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isalnum(character) || character == '.' || character == '_' || character == '-';
    });
}

std::string readName(CheckedObject& object, const std::string& key)
{
    std::string name = object.text(key);
    if (!isName(name))
        object.fail(
            key, "a name of 1 to " + std::to_string(maxNameLength) + " letters, digits, \".\", \"_\" and \"-\"");
    return name;
}

MebiBytes readMemory(CheckedObject& object) { return MebiBytes(object.number("memory_mib", 1, maxMemoryMib)); }

std::vector<PoolName> readPoolNames(CheckedObject& object)
{
    std::vector<PoolName> names;
    for (const std::string& text : object.texts("pools")) {
        const PoolName name(text);
        if (std::find(names.begin(), names.end(), name) != names.end())
            object.fail("pools", "each pool once, \"" + text + "\" is there twice");
        names.push_back(name);
    }
    if (names.empty())
        object.fail("pools", "at least one pool");
    return names;
}

std::map<SiteName, std::uint32_t> readReplicas(CheckedObject& object)
{
    std::map<SiteName, std::uint32_t> replicas;
    CheckedObject bySite = object.object("replicas");
    for (const auto& [site, count] : bySite.numberEntries(0, maxReplicas))
        replicas[SiteName(site)] = static_cast<std::uint32_t>(count);
    return replicas;
}

RequestDefaults readDefaults(CheckedObject& object)
{
    RequestDefaults defaults;
    const auto timeoutMs = static_cast<std::uint64_t>(defaults.timeout.count());
    defaults.timeout = Milliseconds(object.numberOr("timeout_ms", timeoutMs, 1, maxTimeoutMs));
    defaults.isRepeatable = object.flagOr("repeatable", defaults.isRepeatable);
    defaults.priority = static_cast<std::uint8_t>(object.numberOr("priority", defaults.priority, 0, highestPriority));
    return defaults;
}

void readPolicy(CheckedObject& object, PolicyParameters& policy)
{
    if (!object.has("policy"))
        return;
    CheckedObject parameters = object.object("policy");
    policy.coldStartWeight = parameters.doubleOr("cold_start_weight", policy.coldStartWeight, 0, maxColdStartWeight);
    policy.weightLoadsPerSecond = parameters.doubleOr(
        "weight_loads_per_second", policy.weightLoadsPerSecond, minLoadsPerSecond, maxLoadsPerSecond);
    policy.weightLoadsAtFullSpeed = static_cast<std::uint32_t>(
        parameters.numberOr("weight_loads_at_full_speed", policy.weightLoadsAtFullSpeed, 1, maxReplicas));
    (void)parameters.finish();
}

void readPool(CheckedObject& object, Bundle& bundle)
{
    Pool pool;
    pool.name = PoolName(readName(object, "name"));
    pool.site = SiteName(readName(object, "site"));
    const bool isService = object.choiceOr("kind", "engine", { "engine", "service" }) == "service";
    pool.kind = isService ? PoolKind::Service : PoolKind::Engine;
    if (!isService)
        pool.acceleratorMemory = readMemory(object);
    else if (object.numberOr("memory_mib", 0, 0, maxMemoryMib) != 0)
        object.fail("memory_mib", "nothing, a pool of services has no accelerators");
    if (!bundle.pools.emplace(pool.name, pool).second)
        object.fail("name", "a pool that isn't there already");
    (void)object.finish();
}

void readService(CheckedObject& object, Bundle& bundle)
{
    Service service;
    service.name = ServiceName(readName(object, "name"));
    service.pools = readPoolNames(object);
    service.defaults = readDefaults(object);
    for (const PoolName& name : service.pools) {
        const auto pool = bundle.pools.find(name);
        if (pool == bundle.pools.end() || pool->second.kind != PoolKind::Service)
            object.fail("pools", "names of pools of kind service, \"" + name.value() + "\" is none");
    }
    if (!bundle.services.emplace(service.name, service).second)
        object.fail("name", "a service that isn't there already");
    (void)object.finish();
}

void readModel(CheckedObject& object, Bundle& bundle)
{
    Model model;
    model.name = ModelName(readName(object, "name"));
    model.version = WeightsVersion(readName(object, "version"));
    model.memory = readMemory(object);
    model.pools = readPoolNames(object);
    model.replicas = readReplicas(object);
    model.defaults = readDefaults(object);
    if (const auto fault = faultOf(model, bundle))
        object.fail(fault->key, fault->expected);
    if (!bundle.models.emplace(model.name, model).second)
        object.fail("name", "a model that isn't there already");
    (void)object.finish();
}

void readAdapter(CheckedObject& object, Bundle& bundle)
{
    Adapter adapter;
    adapter.name = AdapterName(readName(object, "name"));
    adapter.model = ModelName(readName(object, "model"));
    adapter.version = WeightsVersion(readName(object, "version"));
    adapter.memory = readMemory(object);
    adapter.replicas = readReplicas(object);
    if (const auto fault = faultOf(adapter, bundle))
        object.fail(fault->key, fault->expected);
    if (!bundle.adapters[adapter.model].emplace(adapter.name, adapter).second)
        object.fail("name", "an adapter that its model hasn't already");
    (void)object.finish();
}

std::optional<EntryFault> faultOfPool(const PoolName& name, const Bundle& bundle)
{
    const auto pool = bundle.pools.find(name);
    if (pool != bundle.pools.end() && pool->second.kind == PoolKind::Engine)
        return std::nullopt;
    return EntryFault { "pools", "names of pools of kind engine, \"" + name.value() + "\" is none" };
}

/// Prevents replicas that can never be loaded: each request for one would wait until its deadline.
std::optional<EntryFault> faultOfSites(const std::map<SiteName, std::uint32_t>& replicas,
    const std::vector<PoolName>& pools, MebiBytes memory, const Bundle& bundle)
{
    for (const auto& [site, count] : replicas) {
        bool hasPool = false;
        bool hasMemory = false;
        for (const PoolName& name : pools) {
            const Pool& pool = bundle.pools.at(name);
            hasPool |= pool.site == site;
            hasMemory |= pool.site == site && pool.acceleratorMemory >= memory;
        }
        if (!hasPool)
            return EntryFault { "replicas." + site.value(), "a site of one of its pools" };
        if (count > 0 && !hasMemory)
            return EntryFault { "memory_mib",
                "at most the accelerator memory of a pool at " + site.value() + ", needed is "
                    + std::to_string(memory.value()) + " MiB" };
    }
    return std::nullopt;
}

} // namespace

std::optional<EntryFault> faultOf(const Model& model, const Bundle& bundle)
{
    for (const PoolName& name : model.pools) {
        if (auto fault = faultOfPool(name, bundle))
            return fault;
    }
    return faultOfSites(model.replicas, model.pools, model.memory, bundle);
}

std::optional<EntryFault> faultOf(const Adapter& adapter, const Bundle& bundle)
{
    const Model* model = bundle.model(adapter.model);
    if (!model)
        return EntryFault { "model", "a model of this bundle" };
    // A fault of the model has been reported already when the model was read, and its pools may not exist.
    if (faultOf(*model, bundle))
        return std::nullopt;
    const MebiBytes combinedMemory(model->memory.value() + adapter.memory.value());
    return faultOfSites(adapter.replicas, model->pools, combinedMemory, bundle);
}

void readCommon(CheckedObject& object, Bundle& bundle)
{
    readPolicy(object, bundle.policy);
    for (CheckedObject& pool : object.objects("pools"))
        readPool(pool, bundle);
    for (CheckedObject& service : object.objects("services"))
        readService(service, bundle);
}

void readEntries(CheckedObject& object, Bundle& bundle)
{
    for (CheckedObject& model : object.objects("models"))
        readModel(model, bundle);
    for (CheckedObject& adapter : object.objects("adapters"))
        readAdapter(adapter, bundle);
}

} // namespace lagoon::bundle
