#include "objectstore/objectstoreclient.h"

#include "objectstore/internal/httpobjectstore.h"
#include "objectstore/internal/httpvmlist.h"

namespace lagoon::objectstore {

ObjectStoreClient makeObjectStoreClient(
    const ObjectStoreSettings& settings, std::shared_ptr<framework::Metrics> metrics)
{
    const auto calls = std::make_shared<HttpCalls>(settings, std::move(metrics));
    return { std::make_shared<HttpObjectStore>(calls), std::make_shared<HttpVmList>(calls) };
}

} // namespace lagoon::objectstore
