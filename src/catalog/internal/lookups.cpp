#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"

#include <algorithm>

namespace lagoon::catalog {

const ModelProfile* EngineProfile::find(const framework::ModelName& name) const
{
    const auto found
        = std::find_if(models.begin(), models.end(), [&](const ModelProfile& model) { return model.name == name; });
    return found == models.end() ? nullptr : &*found;
}

const Service* Configuration::find(const framework::ServiceName& name) const
{
    const auto found
        = std::find_if(services.begin(), services.end(), [&](const Service& service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

bool HeldModel::has(const framework::AdapterName& adapter) const
{
    return adapter.value().empty() || std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

const HeldModel* EngineState::find(const framework::ModelName& name) const
{
    const auto found = std::find_if(held.begin(), held.end(), [&](const HeldModel& one) { return one.model == name; });
    return found == held.end() ? nullptr : &*found;
}

bool EngineState::isLeaving(const framework::ModelName& name) const
{
    return std::find(leaving.begin(), leaving.end(), name) != leaving.end();
}

} // namespace lagoon::catalog
