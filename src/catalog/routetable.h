#pragma once

#include "catalog/types/configuration.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace lagoon::catalog {

/// Finds the route of a request: among the routes for its host, the one with the longest matching path prefix. A lookup
/// costs one hash per slash in the path, independent of the number of routes.
class RouteTable {
public:
    explicit RouteTable(ConfigurationPointer);

    /// `host` may include a port and is compared case-insensitively; `target` may include a query string. Returns
    /// nullptr if no route matches. The result lives as long as the table.
    const Route* find(std::string_view host, std::string_view target) const;
    const ConfigurationPointer& configuration() const { return configuration_; }

private:
    ConfigurationPointer configuration_;
    std::unordered_map<std::string, const Route*> byHostAndPrefix_;
};

} // namespace lagoon::catalog
