#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "framework/types/error.h"

#include <any>
#include <string>

namespace lagoon::catalog {

/// Decodes objects from the object store's feeds. Returns `BadObject` for content that can't be decoded.
class ICatalogDecoder {
public:
    virtual ~ICatalogDecoder() = default;
    virtual framework::Result<Configuration> configuration(const std::any&) const = 0;
    virtual framework::Result<Upstream> upstream(const std::string& name, const std::any&) const = 0;
};

} // namespace lagoon::catalog
