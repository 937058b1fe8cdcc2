#include "bundle/types/bundle.h"

namespace lagoon::bundle {

namespace {

template <typename Map> const typename Map::mapped_type* find(const Map& map, const typename Map::key_type& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

const Model* Bundle::model(const framework::ModelName& name) const { return find(models, name); }

const Adapter* Bundle::adapter(const framework::ModelName& model, const framework::AdapterName& name) const
{
    const auto* adaptersOfModel = find(adapters, model);
    return adaptersOfModel ? find(*adaptersOfModel, name) : nullptr;
}

const Service* Bundle::service(const framework::ServiceName& name) const { return find(services, name); }

std::uint32_t Bundle::decidedReplicas(const framework::ModelName& modelName, const framework::AdapterName& adapterName,
    const framework::SiteName& site) const
{
    const std::uint32_t* count = nullptr;
    if (const Adapter* found = adapter(modelName, adapterName))
        count = find(found->replicas, site);
    else if (const Model* found = model(modelName); found && adapterName.value().empty())
        count = find(found->replicas, site);
    return count ? *count : 0;
}

} // namespace lagoon::bundle
