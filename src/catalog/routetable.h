#pragma once

#include "catalog/types/configuration.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace lagoon::catalog {

/// Finds the route of a request: of those for its host, the one with the longest prefix that begins its path. A look-up
/// costs one hash per slash of the path, whatever the number of routes.
class RouteTable {
public:
    explicit RouteTable(ConfigurationPointer);

    /// `host` may carry a port, and its case doesn't matter; `target` may carry a query. Nothing if no route fits.
    /// Lives as long as the table.
    const Route* find(std::string_view host, std::string_view target) const;
    const ConfigurationPointer& configuration() const { return configuration_; }

private:
    ConfigurationPointer configuration_;
    std::unordered_map<std::string, const Route*> byHostAndPrefix_;
};

} // namespace lagoon::catalog
